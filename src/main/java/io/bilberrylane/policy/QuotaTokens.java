package io.bilberrylane.policy;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.IntConsumer;

/** The tokens of an ingress for one organisation; those that expire first are spent first. */
final class QuotaTokens {
    private static final class Lease {
        private final long mExpiryNanos;
        private int mCount;

        private Lease(final long expiryNanos, final int count) {
            mExpiryNanos = expiryNanos;
            mCount = count;
        }
    }

    private final PriorityQueue<Lease> mLeases =
            new PriorityQueue<>(Comparator.comparingLong((Lease lease) -> lease.mExpiryNanos));
    private final IntConsumer mOnLapsed;
    private int mCount;

    QuotaTokens(final IntConsumer onLapsed) {
        mOnLapsed = onLapsed;
    }

    void add(final int count, final long expiryNanos) {
        if (count > 0) {
            mLeases.add(new Lease(expiryNanos, count));
            mCount += count;
        }
    }

    /** Takes a token; returns when it expires, or empty if there is none. */
    OptionalLong take(final long nowNanos) {
        expire(nowNanos);
        final Lease lease = mLeases.peek();
        if (lease == null) {
            return OptionalLong.empty();
        }
        mCount--;
        if (--lease.mCount == 0) {
            mLeases.poll();
        }
        return OptionalLong.of(lease.mExpiryNanos);
    }

    int count(final long nowNanos) {
        expire(nowNanos);
        return mCount;
    }

    private void expire(final long nowNanos) {
        for (Lease lease = mLeases.peek();
                lease != null && nowNanos - lease.mExpiryNanos >= 0;
                lease = mLeases.peek()) {
            mCount -= lease.mCount;
            mOnLapsed.accept(lease.mCount);
            mLeases.poll();
        }
    }
}
