package io.bilberrylane.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Objects;

/**
 * The ends of calls of one route at one gate. Every number only grows.
 *
 * @param route the route
 * @param ended the calls that ended with a response or at their deadline
 * @param failed those of them that the target failed
 * @param bins the calls by service time, see {@link #binOf}
 */
public record RouteCounts(int route, long ended, long failed, ImmutableLongArray bins) {
    /** The number of bins. */
    public static final int BIN_COUNT = 26;

    /** Two bins double the service time, so that twice and eight times as slow are far apart. */
    private static final double BINS_PER_DOUBLING = 2;

    /** Checks that the bins are present. */
    public RouteCounts {
        Objects.requireNonNull(bins, "bins is null");
        if (bins.length() != BIN_COUNT) {
            throw new IllegalArgumentException("a route needs " + BIN_COUNT + " bins");
        }
    }

    /**
     * Returns counts of nothing.
     *
     * @param route the route
     * @return zeros
     */
    public static RouteCounts none(final int route) {
        return new RouteCounts(route, 0, 0, ImmutableLongArray.copyOf(new long[BIN_COUNT]));
    }

    /**
     * Returns the bin of a service time.
     *
     * @param serviceMicros the service time at normal speed, in microseconds
     * @return the index
     */
    public static int binOf(final double serviceMicros) {
        final double doublings = Math.log(Math.max(1, serviceMicros / 1_000)) / Math.log(2);
        return (int) Math.min(BIN_COUNT - 1, Math.floor(doublings * BINS_PER_DOUBLING));
    }

    /**
     * Returns counts with one more call.
     *
     * @param hasFailed whether the target failed the call
     * @param serviceMicros the service time at normal speed, in microseconds
     * @return the new counts
     */
    public RouteCounts plusCall(final boolean hasFailed, final double serviceMicros) {
        final long[] next = bins.toArray();
        next[binOf(serviceMicros)]++;
        return new RouteCounts(
                route, ended + 1, failed + (hasFailed ? 1 : 0), ImmutableLongArray.copyOf(next));
    }

    /**
     * Returns the sum of two counts.
     *
     * @param other the counts of another gate
     * @return the sum
     */
    public RouteCounts plus(final RouteCounts other) {
        return combine(other, Long::sum);
    }

    /**
     * Returns the newer of two states of the same counts.
     *
     * @param other another state of the same gate's counts
     * @return the maximum of each number
     */
    public RouteCounts newest(final RouteCounts other) {
        return combine(other, Math::max);
    }

    private RouteCounts combine(
            final RouteCounts other, final java.util.function.LongBinaryOperator operator) {
        final long[] next = new long[BIN_COUNT];
        for (int i = 0; i < BIN_COUNT; i++) {
            next[i] = operator.applyAsLong(bins.get(i), other.bins.get(i));
        }
        return new RouteCounts(
                route,
                operator.applyAsLong(ended, other.ended),
                operator.applyAsLong(failed, other.failed),
                ImmutableLongArray.copyOf(next));
    }
}
