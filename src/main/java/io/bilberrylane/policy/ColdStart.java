package io.bilberrylane.policy;

/**
 * Limits the requests in service at a target that may be cold.
 *
 * <p>The allowance starts at the cold concurrency. After the announced warm-up it grows by one
 * after as many healthy completions as its own size. A burst of failures or a jump of the service
 * time resets it to the cold concurrency immediately. Not thread-safe.
 */
public final class ColdStart {
    /** Number of consecutive failures after which the target counts as cold. */
    static final int FAILURE_BURST = 3;

    /** Number of consecutive slow completions after which the target counts as cold. */
    static final int SLOW_BURST = 4;

    /** A completion is slow if it takes more than this many times the warm service time. */
    static final double SLOW_FACTOR = 4.0;

    /** A completion is never slow up to this time, in nanoseconds. */
    static final long SLOW_FLOOR_NANOS = 2_000_000L;

    private static final double WARM_WEIGHT = 0.05;

    private final int mSlots;
    private final int mColdSlots;
    private final int mWarmUpRequests;
    private int mWarmUpRemaining;
    private int mAllowance;
    private int mHealthyCompletions;
    private int mConsecutiveFailures;
    private int mConsecutiveSlow;
    private double mWarmServiceNanos;
    private long mColdResets;

    private ColdStart(final int slots, final int coldSlots, final int warmUpRequests) {
        mSlots = slots;
        mWarmUpRequests = warmUpRequests;
        mWarmUpRemaining = warmUpRequests;
        mColdSlots = Math.min(slots, Math.max(1, coldSlots));
        mAllowance = mColdSlots;
    }

    /**
     * Returns the state of a target that has just announced itself.
     *
     * @param slots the number of requests that the target serves concurrently when warm
     * @param coldSlots the number of requests that it serves concurrently while cold; 1 if not
     *     announced
     * @param warmUpRequests the number of healthy completions until the target is warm; 0 if not
     *     announced
     * @return a cold state
     */
    public static ColdStart of(final int slots, final int coldSlots, final int warmUpRequests) {
        return new ColdStart(slots, coldSlots, warmUpRequests);
    }

    /**
     * Returns the maximum number of requests in service.
     *
     * @return a value from the cold concurrency to the slots
     */
    public int allowance() {
        return mAllowance;
    }

    /**
     * Returns how often the target was found to have turned cold.
     *
     * @return a count since the announcement
     */
    public long coldResets() {
        return mColdResets;
    }

    /**
     * Records a completed request.
     *
     * @param healthy whether the target answered without a server error
     * @param serviceNanos the time in service, in nanoseconds
     */
    public void recordCompletion(final boolean healthy, final long serviceNanos) {
        if (!healthy) {
            mHealthyCompletions = 0;
            if (++mConsecutiveFailures >= FAILURE_BURST) {
                resetToCold();
            }
            return;
        }
        mConsecutiveFailures = 0;
        if (isSlow(serviceNanos)) {
            if (++mConsecutiveSlow >= SLOW_BURST) {
                resetToCold();
            }
            return;
        }
        mConsecutiveSlow = 0;
        learn(serviceNanos);
        grow();
    }

    /** Resets the allowance to the cold concurrency. */
    public void resetToCold() {
        if (mAllowance > mColdSlots) {
            mColdResets++;
        }
        mAllowance = mColdSlots;
        mWarmUpRemaining = mWarmUpRequests;
        mHealthyCompletions = 0;
        mConsecutiveFailures = 0;
        mConsecutiveSlow = 0;
        mWarmServiceNanos = 0;
    }

    // -- growth

    private boolean isSlow(final long serviceNanos) {
        return mWarmServiceNanos > 0
                && mAllowance > mColdSlots
                && serviceNanos > SLOW_FLOOR_NANOS
                && serviceNanos > mWarmServiceNanos * SLOW_FACTOR;
    }

    private void learn(final long serviceNanos) {
        mWarmServiceNanos =
                mWarmServiceNanos == 0
                        ? serviceNanos
                        : mWarmServiceNanos + WARM_WEIGHT * (serviceNanos - mWarmServiceNanos);
    }

    private void grow() {
        if (mWarmUpRemaining > 0) {
            mWarmUpRemaining--;
            return;
        }
        if (mAllowance < mSlots && ++mHealthyCompletions >= mAllowance) {
            mAllowance++;
            mHealthyCompletions = 0;
        }
    }
}
