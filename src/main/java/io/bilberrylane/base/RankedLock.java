package io.bilberrylane.base;

import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A lock that checks the order of {@link LockRank}. Nothing may block or do I/O under it. */
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
     * @param rank its place in the order
     * @return a free lock
     */
    public static RankedLock of(final LockRank rank) {
        return new RankedLock(Objects.requireNonNull(rank, "rank is null"));
    }

    /**
     * Computes a value under the lock.
     *
     * @param supplier computes the value without blocking
     * @param <T> the value's type
     * @return the value
     * @throws BilberrylaneException with INVARIANT_VIOLATED when a higher rank is held
     */
    public <T> T get(final Supplier<T> supplier) {
        acquire();
        try {
            return supplier.get();
        } finally {
            release();
        }
    }

    /**
     * Runs an action under the lock.
     *
     * @param action runs without blocking
     * @throws BilberrylaneException with INVARIANT_VIOLATED when a higher rank is held
     */
    public void run(final Runnable action) {
        acquire();
        try {
            action.run();
        } finally {
            release();
        }
    }

    // -- order

    private void acquire() {
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
    }

    private void release() {
        HELD.get()[mRank.ordinal()]--;
        mLock.unlock();
    }
}
