package io.bilberrylane.policy;

/**
 * An owner's part of one organisation's limit: a token bucket for an even flow, and a count of the
 * calls granted in the last span, which is never exceeded. The bucket is empty when the node
 * becomes an owner, since allowances of the predecessor may be outstanding. Not thread-safe.
 */
final class QuotaBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Granted calls are counted in slots of this length; a slot is forgotten as a whole. */
    private static final long SLOT_NANOS = 100_000_000L;

    /** A requester that gets nothing asks again after this time at the earliest. */
    private static final long MIN_RETRY_NANOS = 10_000_000L;

    private static final long MAX_RETRY_NANOS = 1_000_000_000L;

    /**
     * The part of the rate that a burst leaves to later calls. Without it, an organisation that
     * demands more than its limit gets nothing for a second or more after its first calls; a larger
     * part refuses short bursts of organisations below their limits.
     */
    private static final double RESERVED_FRACTION = 0.75;

    /**
     * A bucket that holds fewer tokens reserves none: the calls that such a limit delays are few,
     * and the reserve would take the larger grants that save requests.
     */
    private static final double MIN_RESERVING_CAPACITY = 8;

    private final long mOwnerSinceNanos;
    private int[] mSlots = new int[1];
    private long mNewestSlot;
    private int mGranted;
    private double mTokens;
    private double mCapacity;
    private long mRefilledNanos;
    private boolean mSettled;
    private boolean mStarted;

    QuotaBucket(final long nowNanos) {
        mOwnerSinceNanos = nowNanos;
        mRefilledNanos = nowNanos;
        mNewestSlot = Math.floorDiv(nowNanos, SLOT_NANOS);
    }

    long ownerSinceNanos() {
        return mOwnerSinceNanos;
    }

    /** Sets the tokens of a limit that has no predecessor. */
    void fill(final double tokens) {
        mTokens = tokens;
        mSettled = true;
    }

    /**
     * Sets the tokens with which the bucket of a process that has just been started begins. Those
     * that it gains since then are added.
     */
    void start(final double tokens) {
        mTokens = tokens;
        mStarted = true;
    }

    /** Returns whether {@link #start} has been called. */
    boolean isStarted() {
        return mStarted;
    }

    /** Returns whether no other node can have granted allowances of this part. */
    boolean isSettled() {
        return mSettled;
    }

    /** Empties the bucket after a pause, in which another node may have replaced this one. */
    void empty(final long nowNanos) {
        mTokens = 0;
        mSettled = false;
        mRefilledNanos = nowNanos;
    }

    /** Forgets the calls granted under an earlier limit, which was binding until now. */
    void onLimitChanged() {
        mSlots = new int[mSlots.length];
        mGranted = 0;
    }

    /**
     * Grants at most half of the tokens, so that one requester does not take all of them. The half
     * is rounded to the nearest number: rounded down, the bucket of a small limit grants one call
     * for each request; rounded up, nothing is left for others.
     */
    QuotaGrant grant(
            final QuotaPlan plan, final int wanted, final double share, final long nowNanos) {
        advance(plan, nowNanos);
        final double rate = plan.partRate() * share;
        final double maxCalls = plan.partCalls() * share;
        final double minCapacity = Math.min(1, maxCalls);
        mCapacity = Math.max(minCapacity, plan.partCapacity() * share);
        final double elapsedSeconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(mCapacity, mTokens + elapsedSeconds * rate);
        mRefilledNanos = nowNanos;
        final int calls = Math.max(0, Math.min(wanted, available(rate, maxCalls)));
        mTokens -= calls;
        mGranted += calls;
        mSlots[(int) Math.floorMod(mNewestSlot, (long) mSlots.length)] += calls;
        return new QuotaGrant(calls, retryAfterNanos(rate, maxCalls));
    }

    private int available(final double rate, final double maxCalls) {
        final double reservedRate =
                mCapacity < MIN_RESERVING_CAPACITY ? 0 : rate * RESERVED_FRACTION;
        final double left = Math.min(mTokens, unreserved(reservedRate, maxCalls));
        return left < 1 ? 0 : (int) Math.round(left / 2);
    }

    /**
     * Returns how many calls can be granted now so that from now on calls can be granted at the
     * reserved rate, without exceeding the maximum in any span. It is lowest just before a slot
     * with granted calls leaves the span.
     */
    private double unreserved(final double reservedRate, final double maxCalls) {
        double lowest = Double.MAX_VALUE;
        int counted = mGranted;
        for (int age = mSlots.length - 1; age >= 0; age--) {
            final double untilLeft = (mSlots.length - age) * SLOT_NANOS / NANOS_PER_SECOND;
            lowest = Math.min(lowest, maxCalls - counted - reservedRate * untilLeft);
            counted -= mSlots[(int) Math.floorMod(mNewestSlot - age, (long) mSlots.length)];
        }
        return lowest;
    }

    private long retryAfterNanos(final double rate, final double maxCalls) {
        if (available(rate, maxCalls) > 0) {
            return 0;
        }
        if (mTokens >= 1) {
            return SLOT_NANOS;
        }
        final double nanos = (1 - mTokens) / Math.max(rate, 1e-9) * NANOS_PER_SECOND;
        return Math.clamp(Math.round(nanos), MIN_RETRY_NANOS, MAX_RETRY_NANOS);
    }

    /** Forgets the slots that are older than the span. */
    private void advance(final QuotaPlan plan, final long nowNanos) {
        final int slots = (int) (plan.spanNanos() / SLOT_NANOS) + 2;
        final long newestSlot = Math.max(mNewestSlot, Math.floorDiv(nowNanos, SLOT_NANOS));
        final int[] kept = mSlots.length == slots ? mSlots : new int[slots];
        if (kept != mSlots) {
            copySlots(kept);
        }
        final long dropped = Math.min(newestSlot - mNewestSlot, slots);
        for (long i = 1; i <= dropped; i++) {
            final int index = (int) Math.floorMod(newestSlot - dropped + i, (long) slots);
            mGranted -= mSlots[index];
            mSlots[index] = 0;
        }
        mNewestSlot = newestSlot;
    }

    private void copySlots(final int[] kept) {
        int granted = 0;
        for (int age = 0; age < Math.min(kept.length, mSlots.length); age++) {
            final long slot = mNewestSlot - age;
            final int calls = mSlots[(int) Math.floorMod(slot, (long) mSlots.length)];
            kept[(int) Math.floorMod(slot, (long) kept.length)] = calls;
            granted += calls;
        }
        mSlots = kept;
        mGranted = granted;
    }
}
