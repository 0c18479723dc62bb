package io.bilberrylane.policy;

import java.util.Objects;

/**
 * One call that asks a gate for a slot. Times are on the monotonic clock.
 *
 * @param callId the call's identity
 * @param priority its place in the order of service; 0 goes first
 * @param route calls of one route take about the same work
 * @param queueDeadlineNanos when it must leave the queue
 * @param objectiveDeadlineNanos until when its answer is of full use
 * @param deadlineNanos until when its answer is of any use
 * @param waitMode how it waits
 */
public record AdmissionRequest(
        String callId,
        int priority,
        int route,
        long queueDeadlineNanos,
        long objectiveDeadlineNanos,
        long deadlineNanos,
        WaitMode waitMode) {
    /** Checks that the call has an identity. */
    public AdmissionRequest {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(waitMode, "patience is null");
    }
}
