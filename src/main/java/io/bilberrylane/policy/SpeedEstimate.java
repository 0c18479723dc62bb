package io.bilberrylane.policy;

/** The last reported speed of a target and the age of the report. Not thread-safe. */
final class SpeedEstimate {
    /**
     * How long a report stays valid, in nanoseconds; a target's speed may change several times per
     * second.
     */
    private static final long REPORT_VALID_NANOS = 25_000_000L;

    /** Above this service time in percent of normal, a call waits for a faster target. */
    static final int SLOW_THRESHOLD_PERCENT = 150;

    private int mPercent = TargetLoad.NORMAL_SPEED_PERCENT;
    private boolean mProbeable;

    /** Whether there is a speed, reported by the target or assumed. */
    private boolean mReported;

    private boolean mReportedByTarget;
    private boolean mNeverReported;
    private long mReportedNanos;

    void setProbeable(final boolean probeable) {
        mProbeable = probeable;
    }

    boolean isProbeable() {
        return mProbeable;
    }

    /** Records a report of the target. */
    void update(final int percent, final long nowNanos) {
        mReportedByTarget = true;
        mNeverReported = false;
        set(percent, nowNanos);
    }

    /** Assumes normal speed for as long as a report would be valid. */
    void assumeNormal(final long nowNanos) {
        set(TargetLoad.NORMAL_SPEED_PERCENT, nowNanos);
    }

    private void set(final int percent, final long nowNanos) {
        mPercent = Math.max(1, percent);
        mReported = true;
        mReportedNanos = nowNanos;
    }

    /** Records an answer without a report, as a target that never reports its speed sends it. */
    void recordNoReport() {
        mNeverReported = !mReportedByTarget;
    }

    int percent() {
        return mPercent;
    }

    boolean isSlow() {
        return mPercent > SLOW_THRESHOLD_PERCENT;
    }

    boolean isStale(final long nowNanos) {
        return mProbeable
                && !mNeverReported
                && (!mReported || nowNanos - mReportedNanos > REPORT_VALID_NANOS);
    }

    /** Returns when the speed must be probed again, in nanoseconds from now. */
    long nextProbeNanos(final long nowNanos) {
        return mProbeable && mReported
                ? Math.max(0, mReportedNanos + REPORT_VALID_NANOS - nowNanos) + 1
                : 0;
    }
}
