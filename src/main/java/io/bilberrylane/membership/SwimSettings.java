package io.bilberrylane.membership;

/**
 * The pace of the membership protocol.
 *
 * @param periodNanos time between two pings, in nanoseconds
 * @param ackTimeoutNanos time until a ping is repeated through others, in nanoseconds
 * @param suspicionPeriods periods that a suspect has to refute, times the logarithm of the members
 * @param indirectPings members that are asked to repeat a ping
 * @param updatesPerMessage records passed on in one datagram
 * @param retransmitFactor times that a record is passed on, times the logarithm of the members
 * @param deadRetentionNanos how long a dead member is remembered, in nanoseconds
 */
public record SwimSettings(
        long periodNanos,
        long ackTimeoutNanos,
        int suspicionPeriods,
        int indirectPings,
        int updatesPerMessage,
        int retransmitFactor,
        long deadRetentionNanos) {
    /** What a node uses unless told otherwise. */
    public static final SwimSettings DEFAULT =
            new SwimSettings(500_000_000L, 200_000_000L, 3, 3, 8, 3, 120_000_000_000L);

    /** Checks that the pace is possible. */
    public SwimSettings {
        if (periodNanos <= 0 || ackTimeoutNanos <= 0 || ackTimeoutNanos >= periodNanos) {
            throw new IllegalArgumentException("the ack timeout must lie within the period");
        }
    }
}
