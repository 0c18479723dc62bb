package io.bilberrylane.policy;

/**
 * Bounds the calls that a target gets in any second while it is cold, or may be without the gate
 * knowing. Not thread-safe.
 */
final class ColdRateLimiter {
    /** Requests in a second that are kept free, since one reaches its target a little later. */
    private static final double REQUEST_MARGIN = 1;

    /** News that the target is warm hold for so long; a busy one gets a few calls in that time. */
    private static final long WARM_REPORT_VALID_NANOS = 250_000_000L;

    private final SlidingWindowRateLimiter mLimiter = new SlidingWindowRateLimiter();
    private long mColdUntilNanos;
    private boolean mColdReported;
    private boolean mWarmReported;
    private long mWarmReportedNanos;
    private int mColdLimit;
    private int mUnknownLimit;

    /**
     * Sets the bounds of a second.
     *
     * @param bounds what the fleet keeps within
     * @param coldRatePerSecond calls per second that a cold target bears; 0 without a limit
     */
    void setLimits(final FleetBounds bounds, final double coldRatePerSecond) {
        if (coldRatePerSecond <= 0) {
            mColdLimit = 0;
            mUnknownLimit = 0;
            return;
        }
        final double maxPerSecond =
                coldRatePerSecond * bounds.coldOverage() + bounds.coldSlack() - REQUEST_MARGIN;
        mColdLimit = Math.max(1, (int) Math.floor(coldRatePerSecond));
        mUnknownLimit = Math.max(mColdLimit, (int) Math.floor(maxPerSecond));
    }

    /**
     * Takes note of how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 when it is warm
     * @param nowNanos the monotonic clock
     */
    void setColdMillis(final long millis, final long nowNanos) {
        mColdReported = millis > 0;
        mColdUntilNanos = nowNanos + millis * 1_000_000L;
        mWarmReported = !mColdReported;
        mWarmReportedNanos = nowNanos;
    }

    /** Takes note that nothing is known of the target's coldness, as after an outage of it. */
    void markUnknown() {
        mWarmReported = false;
    }

    /** Takes note of a call. */
    void recordCall(final long nowNanos) {
        mLimiter.recordEvent(nowNanos);
    }

    /** Returns how long the next call must wait, in nanoseconds. */
    long waitNanos(final long nowNanos) {
        return mLimiter.waitNanos(limit(nowNanos), nowNanos);
    }

    /** Returns whether news that the target is warm would let a call in. */
    boolean awaitsReport(final long nowNanos) {
        return !isCold(nowNanos) && !isWarmReportValid(nowNanos);
    }

    /**
     * Returns the bound for any second. A target that has turned cold since the last news must not
     * have got more than a cold one may by the time of the next.
     */
    private int limit(final long nowNanos) {
        if (isCold(nowNanos)) {
            return mColdLimit;
        }
        return isWarmReportValid(nowNanos) ? 0 : mUnknownLimit;
    }

    private boolean isCold(final long nowNanos) {
        return mColdReported && nowNanos - mColdUntilNanos < 0;
    }

    private boolean isWarmReportValid(final long nowNanos) {
        return mWarmReported && nowNanos - mWarmReportedNanos < WARM_REPORT_VALID_NANOS;
    }
}
