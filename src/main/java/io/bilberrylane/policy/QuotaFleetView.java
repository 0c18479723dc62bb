package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * What a node knows of the fleet for its decisions as an owner: who is present, the share of the
 * known nodes that are, and whether the view has settled. Not thread-safe.
 */
final class QuotaFleetView {
    /** An increase of the share takes effect only once every node has had time to see it. */
    private static final long SHARE_DELAY_NANOS = 1_000_000_000L;

    /** While nodes are being declared dead, others may still take them for owners. */
    private static final long SETTLE_NANOS = 600_000_000L;

    private static final long MAX_SETTLE_NANOS = 4_000_000_000L;

    /** A started node learns of all others by synchronizing with seeds in its first second. */
    private static final long START_NANOS = 1_000_000_000L;

    /**
     * It has learned of them earlier if it knows others and has learned of no more for a while: it
     * synchronizes with two seeds within a fifth of a second.
     */
    private static final long MIN_START_NANOS = 300_000_000L;

    private static final long QUIET_NANOS = 200_000_000L;

    /**
     * A node whose tick is overdue by this long was paused: others may have replaced it as an owner
     * meanwhile.
     */
    private static final long PAUSE_NANOS = 600_000_000L;

    private record Share(long nanos, double value) {}

    private final long mStartNanos;
    private final Deque<Share> mShares = new ArrayDeque<>();
    private long mLastTickNanos;
    private long mResumedNanos;
    private long mLastDropNanos;
    private long mLastGrowthNanos;
    private boolean mDropped;
    private boolean mPaused;
    private int mPresent = 1;
    private int mKnown = 1;
    private QuotaOwners mOwners = QuotaOwners.among(List.of());

    QuotaFleetView(final long startNanos, final long nowNanos) {
        mStartNanos = startNanos;
        mLastTickNanos = nowNanos;
        mResumedNanos = nowNanos - START_NANOS;
        mLastGrowthNanos = nowNanos;
    }

    void update(final List<String> present, final int known, final long nowNanos) {
        mDropped |= present.size() < mPresent;
        if (present.size() < mPresent) {
            mLastDropNanos = nowNanos;
        }
        if (present.size() > mPresent) {
            mLastGrowthNanos = nowNanos;
        }
        mPresent = Math.max(1, present.size());
        mKnown = Math.max(mPresent, known);
        mOwners = QuotaOwners.among(present);
        mShares.addLast(new Share(nowNanos, (double) mPresent / mKnown));
        share(nowNanos);
    }

    long startNanos() {
        return mStartNanos;
    }

    QuotaOwners owners() {
        return mOwners;
    }

    int known() {
        return mKnown;
    }

    /** Returns whether the node has been paused since the previous event. */
    boolean wasPausedAt(final long nowNanos) {
        final boolean paused = nowNanos - mLastTickNanos > PAUSE_NANOS;
        mLastTickNanos = nowNanos;
        if (paused) {
            mPaused = true;
            mResumedNanos = nowNanos;
        }
        return paused;
    }

    /** Returns the smallest share of the last second. */
    double share(final long nowNanos) {
        while (mShares.size() > 1 && secondIsOld(nowNanos)) {
            mShares.pollFirst();
        }
        return mShares.stream().mapToDouble(Share::value).min().orElse(1);
    }

    /** Returns whether the first share has been replaced by the second for the whole delay. */
    private boolean secondIsOld(final long nowNanos) {
        final Share first = mShares.pollFirst();
        final boolean old = nowNanos - mShares.peekFirst().nanos() >= SHARE_DELAY_NANOS;
        mShares.addFirst(first);
        return old;
    }

    /**
     * Returns the time until an owner that is one since its start may grant, in nanoseconds; 0 or
     * less if it may now. A node that knows no other may have been started first of all.
     */
    long unsettledNanosAfterStart(final long nowNanos) {
        final long learnedNanos =
                Math.max(mStartNanos + MIN_START_NANOS, mLastGrowthNanos + QUIET_NANOS);
        final long startedNanos = mStartNanos + START_NANOS;
        final long settledNanos =
                mPresent > 1 && learnedNanos - startedNanos < 0 ? learnedNanos : startedNanos;
        return Math.max(settledNanos, pauseEndNanos(settledNanos)) - nowNanos;
    }

    private long pauseEndNanos(final long ifNotPausedNanos) {
        return mPaused ? mResumedNanos + START_NANOS : ifNotPausedNanos;
    }

    /** Returns the time until an owner may grant, in nanoseconds; 0 or less if it may now. */
    long unsettledNanos(final long ownerSinceNanos, final long nowNanos) {
        long settledNanos = ownerSinceNanos + SETTLE_NANOS;
        if (mDropped && mLastDropNanos - ownerSinceNanos >= 0) {
            settledNanos =
                    Math.min(mLastDropNanos + SETTLE_NANOS, ownerSinceNanos + MAX_SETTLE_NANOS);
        }
        settledNanos = Math.max(settledNanos, mStartNanos + START_NANOS);
        return Math.max(settledNanos, pauseEndNanos(settledNanos)) - nowNanos;
    }
}
