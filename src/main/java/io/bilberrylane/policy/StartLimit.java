package io.bilberrylane.policy;

/** Bounds how long admitted calls may start after their target has requested no new work. */
final class StartLimit {
    /** How long an admitted call may start after its target has requested no new work. */
    private static final long GRACE_NANOS = 500_000_000L;

    private boolean mLimited;
    private long mEndNanos;

    void limit(final long nowNanos) {
        if (!mLimited) {
            mLimited = true;
            mEndNanos = nowNanos + GRACE_NANOS;
        }
    }

    boolean mayStart(final long nowNanos) {
        return !mLimited || nowNanos - mEndNanos < 0;
    }

    void lift() {
        mLimited = false;
    }
}
