package io.bilberrylane.policy;

import java.util.Objects;

/**
 * One call that asks a gate for a slot.
 *
 * @param callId the call's identity
 * @param classRank its class's place in the order of service; 0 goes first
 * @param queueDeadlineNanos when it must leave the queue, on the monotonic clock
 */
public record Ticket(String callId, int classRank, long queueDeadlineNanos) {
    /** Checks that the call has an identity. */
    public Ticket {
        Objects.requireNonNull(callId, "callId is null");
    }
}
