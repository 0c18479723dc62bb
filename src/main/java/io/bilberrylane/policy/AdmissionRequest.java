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
 * @param origin for whom the call is made
 */
public record AdmissionRequest(
        String callId,
        int priority,
        int route,
        long queueDeadlineNanos,
        long objectiveDeadlineNanos,
        long deadlineNanos,
        WaitMode waitMode,
        CallOrigin origin) {
    /** Checks that call identity, wait mode and origin are present. */
    public AdmissionRequest {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(waitMode, "waitMode is null");
        Objects.requireNonNull(origin, "origin is null");
    }

    /**
     * Creates the request of a call whose origin does not matter.
     *
     * @param callId the call's identity
     * @param priority the position in the order of service; 0 goes first
     * @param route the route; calls of one route take similar service times
     * @param queueDeadlineNanos the time at which the call must leave the queue
     * @param objectiveDeadlineNanos the time after which the response is not of full use
     * @param deadlineNanos the time after which the response is of no use
     * @param waitMode what the call waits for
     */
    public AdmissionRequest(
            final String callId,
            final int priority,
            final int route,
            final long queueDeadlineNanos,
            final long objectiveDeadlineNanos,
            final long deadlineNanos,
            final WaitMode waitMode) {
        this(
                callId,
                priority,
                route,
                queueDeadlineNanos,
                objectiveDeadlineNanos,
                deadlineNanos,
                waitMode,
                CallOrigin.NONE);
    }
}
