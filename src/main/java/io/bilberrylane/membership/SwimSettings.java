package io.bilberrylane.membership;

/**
 * The settings of the membership protocol.
 *
 * @param periodNanos the time between two pings, in nanoseconds
 * @param ackTimeoutNanos the time after which other members are asked to repeat a ping, in
 *     nanoseconds
 * @param suspicionPeriods the number of periods that a suspect has to refute, multiplied by the
 *     logarithm of the number of members
 * @param indirectPings the number of members that are asked to repeat a ping
 * @param updatesPerMessage the number of records gossiped in one datagram
 * @param retransmitFactor how often a record is gossiped, multiplied by the logarithm of the number
 *     of members
 * @param deadRetentionNanos how long a dead member stays in the table, in nanoseconds
 */
public record SwimSettings(
        long periodNanos,
        long ackTimeoutNanos,
        int suspicionPeriods,
        int indirectPings,
        int updatesPerMessage,
        int retransmitFactor,
        long deadRetentionNanos) {
    /** The default settings. */
    public static final SwimSettings DEFAULT =
            new SwimSettings(500_000_000L, 200_000_000L, 3, 3, 8, 3, 120_000_000_000L);

    /** Checks that the ack timeout lies within the period. */
    public SwimSettings {
        if (periodNanos <= 0 || ackTimeoutNanos <= 0 || ackTimeoutNanos >= periodNanos) {
            throw new IllegalArgumentException(
                    "periodNanos must be positive and ackTimeoutNanos between 0 and periodNanos");
        }
    }
}
