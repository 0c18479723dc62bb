package io.bilberrylane.policy;

import java.util.Objects;

/**
 * One call that asks a gate for a slot. Times are on the monotonic clock.
 *
 * @param callId the call's identity
 * @param rank its place in the order of service; 0 goes first
 * @param route calls of one route take about the same work
 * @param queueEndNanos when it must leave the queue
 * @param objectiveNanos until when its answer is of full use
 * @param deadlineNanos until when its answer is of any use
 * @param patience how it waits
 */
public record Ticket(
        String callId,
        int rank,
        int route,
        long queueEndNanos,
        long objectiveNanos,
        long deadlineNanos,
        Patience patience) {
    /** Checks that the call has an identity. */
    public Ticket {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(patience, "patience is null");
    }
}
