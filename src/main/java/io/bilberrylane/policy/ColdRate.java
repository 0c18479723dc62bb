package io.bilberrylane.policy;

/**
 * Bounds the calls that a target gets in any second while it is cold, or may be without the gate
 * knowing. Not thread-safe.
 */
final class ColdRate {
    /** Requests in a second that are kept free, since one reaches its target a little later. */
    private static final double RATE_MARGIN = 1;

    /** News that the target is warm hold for so long; a busy one gets a few calls in that time. */
    private static final long WARM_NEWS_NANOS = 250_000_000L;

    private final SecondRate mRate = new SecondRate();
    private long mColdUntilNanos;
    private boolean mColdKnown;
    private boolean mWarmTold;
    private long mWarmToldNanos;
    private int mColdLimit;
    private int mUnknownLimit;

    /**
     * Sets the bounds of a second.
     *
     * @param bounds what the fleet keeps within
     * @param coldRatePerSecond calls per second that a cold target bears; 0 without a limit
     */
    void bound(final FleetBounds bounds, final double coldRatePerSecond) {
        if (coldRatePerSecond <= 0) {
            mColdLimit = 0;
            mUnknownLimit = 0;
            return;
        }
        final double most =
                coldRatePerSecond * bounds.coldOverage() + bounds.coldSlack() - RATE_MARGIN;
        mColdLimit = Math.max(1, (int) Math.floor(coldRatePerSecond));
        mUnknownLimit = Math.max(mColdLimit, (int) Math.floor(most));
    }

    /**
     * Takes note of how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 when it is warm
     * @param nowNanos the monotonic clock
     */
    void coldFor(final long millis, final long nowNanos) {
        mColdKnown = millis > 0;
        mColdUntilNanos = nowNanos + millis * 1_000_000L;
        mWarmTold = !mColdKnown;
        mWarmToldNanos = nowNanos;
    }

    /** Takes note that nothing is known of the target's coldness, as after an outage of it. */
    void unknown() {
        mWarmTold = false;
    }

    /** Takes note of a call. */
    void note(final long nowNanos) {
        mRate.note(nowNanos);
    }

    /** Returns how long the next call must wait, in nanoseconds. */
    long waitNanos(final long nowNanos) {
        return mRate.waitNanos(limit(nowNanos), nowNanos);
    }

    /** Returns whether news that the target is warm would let a call in. */
    boolean awaitsNews(final long nowNanos) {
        return !isCold(nowNanos) && !isWarmNewsFresh(nowNanos);
    }

    /**
     * Returns the bound for any second. A target that has turned cold since the last news must not
     * have got more than a cold one may by the time of the next.
     */
    private int limit(final long nowNanos) {
        if (isCold(nowNanos)) {
            return mColdLimit;
        }
        return isWarmNewsFresh(nowNanos) ? 0 : mUnknownLimit;
    }

    private boolean isCold(final long nowNanos) {
        return mColdKnown && nowNanos - mColdUntilNanos < 0;
    }

    private boolean isWarmNewsFresh(final long nowNanos) {
        return mWarmTold && nowNanos - mWarmToldNanos < WARM_NEWS_NANOS;
    }
}
