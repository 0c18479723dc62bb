package io.bilberrylane.policy;

/**
 * Limits the calls that a target receives in any one second while it is cold, or while it may be
 * cold without the gate knowing. A cold target gets calls at its announced rate. Calls that other
 * gates have refused before may use the multiple of it that the fleet allows.
 *
 * <p>Load pattern: all targets of a service have started at the same time, and callers return after
 * an outage. Not thread-safe.
 */
final class ColdRateLimiter {
    /**
     * Requests per second kept in reserve, since a request reaches its target slightly later than
     * it is counted here.
     */
    private static final double REQUEST_MARGIN = 1;

    /**
     * How long a report that the target is warm stays valid, in nanoseconds; a busy target receives
     * a few calls in this time.
     */
    private static final long WARM_REPORT_VALID_NANOS = 250_000_000L;

    private final SlidingWindowRateLimiter mLimiter = new SlidingWindowRateLimiter();
    private long mColdUntilNanos;
    private boolean mColdReported;
    private boolean mWarmReported;
    private long mWarmReportedNanos;
    private int mColdLimit;
    private int mColdOverageLimit;
    private int mUnknownLimit;

    /**
     * Sets the limits per second.
     *
     * @param bounds the bounds of the whole fleet
     * @param coldRatePerSecond the calls per second that a cold target can serve; 0 if unlimited
     */
    void setLimits(final FleetBounds bounds, final double coldRatePerSecond) {
        if (coldRatePerSecond <= 0) {
            mColdLimit = 0;
            mColdOverageLimit = 0;
            mUnknownLimit = 0;
            return;
        }
        final double overagePerSecond = coldRatePerSecond * bounds.coldOverage();
        final double maxPerSecond = overagePerSecond + bounds.coldSlack() - REQUEST_MARGIN;
        mColdLimit = Math.max(1, (int) Math.floor(coldRatePerSecond));
        mColdOverageLimit =
                Math.max(mColdLimit, (int) Math.floor(Math.min(overagePerSecond, maxPerSecond)));
        mUnknownLimit = Math.max(mColdLimit, (int) Math.floor(maxPerSecond));
    }

    /**
     * Sets how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 if the target is warm
     * @param nowNanos the monotonic clock
     */
    void setColdMillis(final long millis, final long nowNanos) {
        mColdReported = millis > 0;
        mColdUntilNanos = nowNanos + millis * 1_000_000L;
        mWarmReported = !mColdReported;
        mWarmReportedNanos = nowNanos;
    }

    /** Marks as unknown whether the target is cold, for example after an outage of the target. */
    void markUnknown() {
        mWarmReported = false;
    }

    /** Records a call. */
    void recordCall(final long nowNanos) {
        mLimiter.recordEvent(nowNanos);
    }

    /** Returns how long the next call that other gates have refused must wait, in nanoseconds. */
    long waitNanos(final long nowNanos) {
        return waitNanos(true, nowNanos);
    }

    /**
     * Returns how long the next call must wait, in nanoseconds.
     *
     * @param refusedElsewhere whether other gates have refused the call
     */
    long waitNanos(final boolean refusedElsewhere, final long nowNanos) {
        return mLimiter.waitNanos(limit(refusedElsewhere, nowNanos), nowNanos);
    }

    /** Returns whether a report that the target is warm would allow a call now. */
    boolean awaitsReport(final long nowNanos) {
        return !isCold(nowNanos) && !isWarmReportValid(nowNanos);
    }

    /**
     * Returns the limit for any one second. If the target turned cold after the last report, the
     * calls that it has received by the next report must not exceed what a cold target may receive.
     */
    private int limit(final boolean refusedElsewhere, final long nowNanos) {
        if (isCold(nowNanos)) {
            return refusedElsewhere ? mColdOverageLimit : mColdLimit;
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
