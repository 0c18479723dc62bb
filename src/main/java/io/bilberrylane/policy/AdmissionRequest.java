package io.bilberrylane.policy;

import java.util.Objects;

/**
 * One call's request for a slot at a gate. Times are on the monotonic clock.
 *
 * @param callId the call's identity
 * @param priority the position in the order of service; 0 goes first
 * @param route the route; calls of one route take similar service times
 * @param queueDeadlineNanos the time at which the call must leave the queue
 * @param objectiveDeadlineNanos the time after which the response is not of full use
 * @param deadlineNanos the time after which the response is of no use
 * @param waitMode what the call waits for
 */
public record AdmissionRequest(
        String callId,
        int priority,
        int route,
        long queueDeadlineNanos,
        long objectiveDeadlineNanos,
        long deadlineNanos,
        WaitMode waitMode) {
    /** Checks that call identity and wait mode are present. */
    public AdmissionRequest {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(waitMode, "waitMode is null");
    }
}
