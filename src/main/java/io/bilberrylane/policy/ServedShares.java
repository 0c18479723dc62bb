package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * The shares of calls that were served, by organisation and over all callers, as seen by one
 * ingress. Old calls count less. Not thread-safe.
 */
final class ServedShares {
    /**
     * Time constant of the decay, in nanoseconds: an ingress receives a call of a small
     * organisation only every few seconds.
     */
    private static final double DECAY_NANOS = 20e9;

    /** Calls that each organisation is assumed to have had, served as often as all callers. */
    private static final double ASSUMED_CALLS = 1;

    private static final int MAX_ORGANISATIONS = 1_024;

    private static final class Counts {
        private double mCalls;
        private double mServed;
        private long mAtNanos;

        private void add(final double calls, final double served, final long nowNanos) {
            final double kept = Math.exp(-Math.max(0, nowNanos - mAtNanos) / DECAY_NANOS);
            mCalls = mCalls * kept + calls;
            mServed = mServed * kept + served;
            mAtNanos = nowNanos;
        }
    }

    private final Map<String, Counts> mByOrganisation = new HashMap<>();
    private final Counts mAll = new Counts();

    void record(final String organisation, final boolean served, final long nowNanos) {
        if (mByOrganisation.size() >= MAX_ORGANISATIONS) {
            mByOrganisation.clear();
        }
        mByOrganisation
                .computeIfAbsent(organisation, name -> new Counts())
                .add(1, served ? 1 : 0, nowNanos);
        mAll.add(1, served ? 1 : 0, nowNanos);
    }

    /**
     * Returns whether an organisation is served less than the given fraction as often as all
     * callers together.
     */
    boolean isBelow(final String organisation, final double fraction) {
        final Counts counts = mByOrganisation.get(organisation);
        if (counts == null || mAll.mCalls == 0) {
            return false;
        }
        final double all = mAll.mServed / mAll.mCalls;
        final double own = (counts.mServed + all * ASSUMED_CALLS) / (counts.mCalls + ASSUMED_CALLS);
        return own < all * fraction;
    }
}
