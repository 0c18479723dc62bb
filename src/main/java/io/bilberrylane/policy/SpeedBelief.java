package io.bilberrylane.policy;

/** How fast a target works now, as last told, and how old that news is. Not thread-safe. */
final class SpeedBelief {
    /** A target's speed may change several times in a second. */
    private static final long FRESH_NANOS = 25_000_000L;

    /** A speed above this is slow enough to wait for a better one, in percent. */
    private static final int SLOW_PERCENT = 150;

    private int mPercent = TargetLoad.NORMAL_SPEED;
    private boolean mAskable;
    private boolean mTold;
    private long mToldNanos;

    void setAskable(final boolean askable) {
        mAskable = askable;
    }

    boolean isAskable() {
        return mAskable;
    }

    void note(final int percent, final long nowNanos) {
        mPercent = Math.max(1, percent);
        mTold = true;
        mToldNanos = nowNanos;
    }

    int percent() {
        return mPercent;
    }

    boolean isSlow() {
        return mPercent > SLOW_PERCENT;
    }

    boolean isStale(final long nowNanos) {
        return mAskable && (!mTold || nowNanos - mToldNanos > FRESH_NANOS);
    }

    /** Returns when the speed should be asked again, in nanoseconds from now. */
    long lookAgainNanos(final long nowNanos) {
        return mAskable && mTold ? Math.max(0, mToldNanos + FRESH_NANOS - nowNanos) + 1 : 0;
    }
}
