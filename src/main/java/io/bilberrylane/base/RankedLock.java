package io.bilberrylane.base;

import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * A lock that checks the order of {@link LockRank} when it is acquired. Code that holds it must not
 * block or do I/O.
 */
public final class RankedLock {
    private static final ThreadLocal<int[]> HELD =
            ThreadLocal.withInitial(() -> new int[LockRank.values().length]);

    private final LockRank mRank;
    private final ReentrantLock mLock = new ReentrantLock();

    private RankedLock(final LockRank rank) {
        mRank = rank;
    }

    /**
     * Returns a new lock of a rank.
     *
     * @param rank the rank of the lock
     * @return a lock that is not held
     */
    public static RankedLock of(final LockRank rank) {
        return new RankedLock(Objects.requireNonNull(rank, "rank is null"));
    }

    /**
     * Computes a value while holding the lock.
     *
     * @param supplier the computation; must not block
     * @param <T> the type of the value
     * @return the value
     * @throws BilberrylaneException with INVARIANT_VIOLATED if this thread holds a higher rank
     */
    public <T> T get(final Supplier<T> supplier) {
        final int[] held = acquire();
        try {
            return supplier.get();
        } finally {
            release(held);
        }
    }

    /**
     * Runs an action while holding the lock.
     *
     * @param action the action; must not block
     * @throws BilberrylaneException with INVARIANT_VIOLATED if this thread holds a higher rank
     */
    public void run(final Runnable action) {
        final int[] held = acquire();
        try {
            action.run();
        } finally {
            release(held);
        }
    }

    // -- acquisition order

    /** Returns the numbers of locks of each rank that this thread holds. */
    private int[] acquire() {
        final int[] held = HELD.get();
        for (int rank = mRank.ordinal() + 1; rank < held.length; rank++) {
            if (held[rank] > 0) {
                throw new BilberrylaneException(
                        ErrorCode.INVARIANT_VIOLATED,
                        "lock " + mRank + " taken while holding " + LockRank.values()[rank]);
            }
        }
        mLock.lock();
        held[mRank.ordinal()]++;
        return held;
    }

    private void release(final int[] held) {
        held[mRank.ordinal()]--;
        mLock.unlock();
    }
}
