package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * How long requests of each route take at normal speed, and how much longer beside many others. Not
 * thread-safe.
 */
public final class WorkEstimates {
    private static final double WORK_WEIGHT = 0.2;
    private static final double CROWD_WEIGHT = 0.15;
    private static final int CROWD_SAMPLES = 6;
    private static final int MAX_ROUTES = 1_024;

    /** Requests beside at most this part of the slots tell the work of a route. */
    private static final double CALM_PART = 0.7;

    /** A greater number in service must give this much more throughput to be allowed. */
    private static final double THROUGHPUT_GAIN = 1.02;

    /** How fast the belief in crowding fades, so that it is tried again, in nanoseconds. */
    private static final double FADE_NANOS = 20e9;

    private final int mSlots;
    private final Map<Integer, Double> mWorkNanos = new HashMap<>();
    private final double[] mCrowd;
    private final int[] mCrowdSamples;
    private double mMeanNanos;
    private long mFadedNanos;

    private WorkEstimates(final int slots) {
        mSlots = slots;
        mCrowd = new double[slots + 1];
        mCrowdSamples = new int[slots + 1];
        java.util.Arrays.fill(mCrowd, 1.0);
    }

    /**
     * Returns estimates that know nothing.
     *
     * @param slots requests that the target serves at once
     * @return empty estimates
     */
    public static WorkEstimates of(final int slots) {
        return new WorkEstimates(slots);
    }

    // -- queries

    /**
     * Returns how long a request takes at normal speed.
     *
     * @param route its route
     * @param inService requests in service, itself included
     * @return nanoseconds; 0 when nothing is known
     */
    public double expectedNanos(final int route, final int inService) {
        final double work = mWorkNanos.getOrDefault(route, mMeanNanos);
        return work * mCrowd[Math.max(0, Math.min(mSlots, inService))];
    }

    /**
     * Returns the mean time of a request at normal speed.
     *
     * @return nanoseconds; 0 when nothing is known
     */
    public double meanNanos() {
        return mMeanNanos;
    }

    /**
     * Returns the number in service that gives the most throughput.
     *
     * @return from 1 to the slots
     */
    public int bestConcurrency() {
        int best = 1;
        double most = 1 / mCrowd[1];
        for (int count = 2; count <= mSlots; count++) {
            final double throughput = count / mCrowd[count];
            if (throughput > most * THROUGHPUT_GAIN) {
                best = count;
                most = throughput;
            }
        }
        return best;
    }

    // -- changes

    /**
     * Takes note of a completed request.
     *
     * @param route its route
     * @param inService requests in service when it began, itself included
     * @param normalNanos its time in service, at normal speed
     * @param nowNanos the monotonic clock
     */
    public void learn(
            final int route, final int inService, final double normalNanos, final long nowNanos) {
        fade(nowNanos);
        if (mWorkNanos.size() > MAX_ROUTES) {
            mWorkNanos.clear();
        }
        final Double known = mWorkNanos.get(route);
        if (inService <= Math.max(1, (int) (mSlots * CALM_PART))) {
            mWorkNanos.put(
                    route,
                    known == null ? normalNanos : known + WORK_WEIGHT * (normalNanos - known));
        } else if (known != null && known > 0) {
            learnCrowd(inService, normalNanos / known);
        }
        mMeanNanos =
                mMeanNanos == 0
                        ? normalNanos
                        : mMeanNanos + WORK_WEIGHT * (normalNanos - mMeanNanos);
    }

    private void learnCrowd(final int inService, final double factor) {
        final int level = Math.min(mSlots, inService);
        final double bounded = Math.max(1, Math.min(4, factor));
        mCrowdSamples[level]++;
        if (mCrowdSamples[level] >= CROWD_SAMPLES) {
            mCrowd[level] += CROWD_WEIGHT * (bounded - mCrowd[level]);
        }
    }

    private void fade(final long nowNanos) {
        if (mFadedNanos != 0) {
            final double kept = Math.exp(-(nowNanos - mFadedNanos) / FADE_NANOS);
            for (int level = 0; level < mCrowd.length; level++) {
                mCrowd[level] = 1 + (mCrowd[level] - 1) * kept;
            }
        }
        mFadedNanos = nowNanos;
    }
}
