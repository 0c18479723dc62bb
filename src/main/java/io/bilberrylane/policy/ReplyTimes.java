package io.bilberrylane.policy;

/**
 * Estimates how long gates take to reply to offers, and from that after which time a gate without a
 * reply counts as silent: the smoothed reply time plus four times its mean deviation.
 *
 * <p>Load pattern: all nodes have just started on slow machines and take a tenth of a second for a
 * reply. If each of them counted as silent, calls would be sent to a second target and load the
 * nodes further. Not thread-safe.
 */
public final class ReplyTimes {
    private static final double MEAN_WEIGHT = 0.125;
    private static final double DEVIATION_WEIGHT = 0.25;
    private static final double DEVIATIONS = 4;

    /** A timeout counts as a reply that took this multiple of it. */
    private static final double TIMEOUT_FACTOR = 1.5;

    private final long mMinTimeoutMillis;
    private final long mMaxTimeoutMillis;
    private double mMeanMillis;
    private double mDeviationMillis;

    private ReplyTimes(final long minTimeoutMillis, final long maxTimeoutMillis) {
        mMinTimeoutMillis = minTimeoutMillis;
        mMaxTimeoutMillis = maxTimeoutMillis;
    }

    /**
     * Returns an estimate without observations, which gives the shortest timeout.
     *
     * @param minTimeoutMillis the shortest timeout, in milliseconds
     * @param maxTimeoutMillis the longest timeout, in milliseconds
     * @return the estimate
     */
    public static ReplyTimes of(final long minTimeoutMillis, final long maxTimeoutMillis) {
        if (minTimeoutMillis < 1 || maxTimeoutMillis < minTimeoutMillis) {
            throw new IllegalArgumentException("timeouts are not in order or below 1 ms");
        }
        return new ReplyTimes(minTimeoutMillis, maxTimeoutMillis);
    }

    /**
     * Returns after which time without a reply a gate counts as silent.
     *
     * @return the timeout, in milliseconds
     */
    public long timeoutMillis() {
        return Math.clamp(
                Math.round(mMeanMillis + DEVIATIONS * mDeviationMillis),
                mMinTimeoutMillis,
                mMaxTimeoutMillis);
    }

    /**
     * Records a reply.
     *
     * @param elapsedMillis the time since the offer, in milliseconds
     */
    public void recordReply(final long elapsedMillis) {
        final double difference = elapsedMillis - mMeanMillis;
        mMeanMillis += MEAN_WEIGHT * difference;
        mDeviationMillis += DEVIATION_WEIGHT * (Math.abs(difference) - mDeviationMillis);
    }

    /** Records that a gate has not replied within the timeout. */
    public void recordTimeout() {
        recordReply(Math.round(timeoutMillis() * TIMEOUT_FACTOR));
    }
}
