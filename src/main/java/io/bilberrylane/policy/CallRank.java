package io.bilberrylane.policy;

import java.util.Comparator;
import java.util.Objects;

/**
 * The position of a call among the calls that compete for the capacity of a service. The natural
 * order is total: the call whose delay or refusal costs callers most comes first.
 *
 * @param late whether the call can no longer be answered within its objective
 * @param priority the priority in force; 0 goes first
 * @param nested whether a running request makes the call, whose work a refusal would waste
 * @param organisationLoad the recent service time of the call's organisation, relative to its fair
 *     share
 * @param workNanos the expected work, less the time that the call has waited
 * @param arrivalNanos the monotonic clock at the arrival
 * @param callId the call's identity, which decides between calls that are equal otherwise
 */
public record CallRank(
        boolean late,
        int priority,
        boolean nested,
        double organisationLoad,
        double workNanos,
        long arrivalNanos,
        String callId)
        implements Comparable<CallRank> {
    private static final Comparator<CallRank> BY_COST =
            Comparator.comparing(CallRank::late)
                    .thenComparingInt(CallRank::priority)
                    .thenComparing(CallRank::nested, Comparator.reverseOrder())
                    .thenComparingDouble(CallRank::organisationLoad)
                    .thenComparingDouble(CallRank::workNanos);

    private static final Comparator<CallRank> ORDER =
            BY_COST.thenComparingLong(CallRank::arrivalNanos).thenComparing(CallRank::callId);

    /** Checks that the identity is present. */
    public CallRank {
        Objects.requireNonNull(callId, "callId is null");
    }

    @Override
    public int compareTo(final CallRank other) {
        return ORDER.compare(this, other);
    }

    /**
     * Compares two ranks by everything but the arrival and the identity of the calls.
     *
     * @param other the other rank
     * @return 0 if neither call costs callers more
     */
    int compareWithoutArrival(final CallRank other) {
        return BY_COST.compare(this, other);
    }
}
