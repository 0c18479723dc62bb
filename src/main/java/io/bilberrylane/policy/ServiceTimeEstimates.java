package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates of the service time of each route at normal speed, and of the factor by which
 * contention with concurrent requests increases it. Not thread-safe.
 */
public final class ServiceTimeEstimates {
    private static final double SERVICE_TIME_WEIGHT = 0.2;
    private static final double CONTENTION_WEIGHT = 0.15;
    private static final int MIN_CONTENTION_SAMPLES = 6;
    private static final int MAX_ROUTES = 1_024;

    /**
     * The service time of a route is learned only from requests with at most this fraction of the
     * slots in service.
     */
    private static final double LOW_OCCUPANCY_FRACTION = 0.7;

    /** The factor by which a higher concurrency must raise the throughput to be preferred. */
    private static final double MIN_THROUGHPUT_GAIN = 1.02;

    /**
     * Time constant with which learned contention decays, so that higher concurrencies are tried
     * again, in nanoseconds.
     */
    private static final double CONTENTION_DECAY_NANOS = 20e9;

    private final int mSlots;
    private final Map<Integer, Double> mServiceNanos = new HashMap<>();
    private final double[] mContention;
    private final int[] mContentionSamples;
    private double mMeanNanos;
    private long mDecayedNanos;

    /** The concurrency with the highest throughput; 0 until it is asked for again. */
    private int mBestConcurrency;

    private ServiceTimeEstimates(final int slots) {
        mSlots = slots;
        mContention = new double[slots + 1];
        mContentionSamples = new int[slots + 1];
        java.util.Arrays.fill(mContention, 1.0);
    }

    /**
     * Returns estimates without observations.
     *
     * @param slots the number of requests that the target serves concurrently
     * @return empty estimates
     */
    public static ServiceTimeEstimates of(final int slots) {
        return new ServiceTimeEstimates(slots);
    }

    // -- queries

    /**
     * Returns the expected service time of a request at normal speed.
     *
     * @param route the request's route
     * @param inService the number of requests in service, including this one
     * @return nanoseconds; 0 if nothing is known
     */
    public double expectedNanos(final int route, final int inService) {
        final double serviceNanos = mServiceNanos.getOrDefault(route, mMeanNanos);
        return serviceNanos * mContention[Math.max(0, Math.min(mSlots, inService))];
    }

    /**
     * Returns the mean service time of a request at normal speed.
     *
     * @return nanoseconds; 0 if nothing is known
     */
    public double meanNanos() {
        return mMeanNanos;
    }

    /**
     * Returns the concurrency with the highest throughput.
     *
     * @return a value from 1 to the slots
     */
    public int bestConcurrency() {
        if (mBestConcurrency == 0) {
            mBestConcurrency = computeBestConcurrency();
        }
        return mBestConcurrency;
    }

    private int computeBestConcurrency() {
        int best = 1;
        double bestThroughput = 1 / mContention[1];
        for (int count = 2; count <= mSlots; count++) {
            final double throughput = count / mContention[count];
            if (throughput > bestThroughput * MIN_THROUGHPUT_GAIN) {
                best = count;
                bestThroughput = throughput;
            }
        }
        return best;
    }

    // -- changes

    /**
     * Records a completed request.
     *
     * @param route the request's route
     * @param inService the number of requests in service when it started, including this one
     * @param normalNanos the request's service time at normal speed, in nanoseconds
     * @param nowNanos the monotonic clock
     */
    public void recordCompletion(
            final int route, final int inService, final double normalNanos, final long nowNanos) {
        mBestConcurrency = 0;
        decayContention(nowNanos);
        if (mServiceNanos.size() > MAX_ROUTES) {
            mServiceNanos.clear();
        }
        final Double previous = mServiceNanos.get(route);
        if (inService <= Math.max(1, (int) (mSlots * LOW_OCCUPANCY_FRACTION))) {
            mServiceNanos.put(
                    route,
                    previous == null
                            ? normalNanos
                            : previous + SERVICE_TIME_WEIGHT * (normalNanos - previous));
        } else if (previous != null && previous > 0) {
            recordContention(inService, normalNanos / previous);
        }
        mMeanNanos =
                mMeanNanos == 0
                        ? normalNanos
                        : mMeanNanos + SERVICE_TIME_WEIGHT * (normalNanos - mMeanNanos);
    }

    private void recordContention(final int inService, final double factor) {
        final int level = Math.min(mSlots, inService);
        final double bounded = Math.max(1, Math.min(4, factor));
        mContentionSamples[level]++;
        if (mContentionSamples[level] >= MIN_CONTENTION_SAMPLES) {
            mContention[level] += CONTENTION_WEIGHT * (bounded - mContention[level]);
        }
    }

    private void decayContention(final long nowNanos) {
        if (mDecayedNanos != 0) {
            final double retained = Math.exp(-(nowNanos - mDecayedNanos) / CONTENTION_DECAY_NANOS);
            for (int level = 0; level < mContention.length; level++) {
                mContention[level] = 1 + (mContention[level] - 1) * retained;
            }
        }
        mDecayedNanos = nowNanos;
    }
}
