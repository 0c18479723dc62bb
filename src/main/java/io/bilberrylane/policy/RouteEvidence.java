package io.bilberrylane.policy;

/**
 * What the ends of calls of one route, or of all routes, say about a new version. The sums are
 * cumulative (CUSUM): they never fall below zero, so that a version that turns bad after a good
 * beginning is found as fast as one that was bad from the start. Not thread-safe.
 */
final class RouteEvidence {
    /** The least share of failures, or of slow calls, that the old version is assumed to have. */
    private static final double BASE_FAILURE_SHARE = 0.02;

    private static final double BASE_SLOW_SHARE = 0.04;

    /**
     * A call is slow in a bin this far above the old version's median: from 3.4 to 4.8 times, so
     * that twice (a cold target) is not slow and eight times is.
     */
    private static final int SLOW_BINS_ABOVE_MEDIAN = 3;

    /**
     * A call that takes less is not slow, however fast the old version is: pauses of a machine take
     * some milliseconds.
     */
    private static final long MIN_SLOW_MICROS = 40_000;

    /** The calls of the old version from which its median is known. */
    private static final int MIN_BASELINE_CALLS = 12;

    /** A route on which the old version fails this often tells nothing about the new one. */
    private static final double MAX_JUDGED_SHARE = 0.5;

    private RouteCounts mNew;
    private RouteCounts mOld;
    private final TrialEvidence mTrial = new TrialEvidence();
    private double mOldEnded;
    private double mOldJudged;
    private double mOldFailed;
    private double mOldSlow;
    private double mFailureSum;
    private double mSlowSum;

    // -- reading

    /**
     * Reads the newest counts of one route.
     *
     * @param newCounts the counts of the new version
     * @param oldCounts the counts of all others
     * @param retention the part of the older counts of the old version that remains
     * @return what both have gained
     */
    CallGrowth read(
            final RouteCounts newCounts, final RouteCounts oldCounts, final double retention) {
        final RouteCounts lastOld = mOld == null ? RouteCounts.none(oldCounts.route()) : mOld;
        final RouteCounts lastNew = mNew == null ? RouteCounts.none(newCounts.route()) : mNew;
        if (oldCounts.ended() > lastOld.ended()) {
            decay(retention);
        }
        mOld = oldCounts;
        final int slowBin = slowBin(oldCounts);
        final double oldEnded = grown(oldCounts.ended(), lastOld.ended());
        final double oldFailed = grown(oldCounts.failed(), lastOld.failed());
        final double oldSlow = slowGrowth(oldCounts, lastOld, slowBin);
        final double ended = grown(newCounts.ended(), lastNew.ended());
        final double failed = grown(newCounts.failed(), lastNew.failed());
        if (slowBin == RouteCounts.BIN_COUNT && ended > 0 && failed == 0) {
            // Service times cannot be compared yet; the ends stay unread until they can.
            return new CallGrowth(oldEnded, oldFailed, oldSlow, 0, 0, 0);
        }
        mNew = newCounts;
        final double slow = slowGrowth(newCounts, lastNew, slowBin);
        return new CallGrowth(oldEnded, oldFailed, oldSlow, ended, failed, slow);
    }

    private static double grown(final long now, final long before) {
        return Math.max(0, now - before);
    }

    private static int slowBin(final RouteCounts oldCounts) {
        return oldCounts.ended() < MIN_BASELINE_CALLS
                ? RouteCounts.BIN_COUNT
                : Math.max(
                        RouteCounts.binOf(MIN_SLOW_MICROS),
                        medianBin(oldCounts) + SLOW_BINS_ABOVE_MEDIAN + 1);
    }

    private static int medianBin(final RouteCounts counts) {
        long seen = 0;
        for (int bin = 0; bin < RouteCounts.BIN_COUNT; bin++) {
            seen += counts.bins().get(bin);
            if (seen * 2 >= counts.ended()) {
                return bin;
            }
        }
        return RouteCounts.BIN_COUNT - 1;
    }

    private static double slowGrowth(
            final RouteCounts now, final RouteCounts before, final int slowBin) {
        double growth = 0;
        for (int bin = slowBin; bin < RouteCounts.BIN_COUNT; bin++) {
            growth += grown(now.bins().get(bin), before.bins().get(bin));
        }
        return growth;
    }

    // -- sums

    /**
     * Forgets a part of the old version's counts.
     *
     * @param retention the part that remains
     */
    void decay(final double retention) {
        mOldEnded *= retention;
        mOldJudged *= retention;
        mOldFailed *= retention;
        mOldSlow *= retention;
    }

    /**
     * Adds calls to the sums.
     *
     * @param growth the calls
     * @param judgesFailures whether their failures may be those of the new version
     */
    void add(final CallGrowth growth, final boolean judgesFailures) {
        mTrial.add(growth);
        mOldEnded += growth.oldEnded();
        mOldSlow += growth.oldSlow();
        final double slowBase = FaultHypothesis.baseShare(mOldSlow, mOldEnded, BASE_SLOW_SHARE);
        mSlowSum = sum(mSlowSum, growth.newSlow(), growth.newEnded(), slowBase);
        if (judgesFailures) {
            mOldJudged += growth.oldEnded();
            mOldFailed += growth.oldFailed();
            mFailureSum = sum(mFailureSum, growth.newFailed(), growth.newEnded(), failureBase());
        }
        if (!judgesFailures()) {
            mFailureSum = 0;
        }
    }

    private static double sum(
            final double sum, final double hits, final double calls, final double base) {
        return Math.max(0, sum + FaultHypothesis.evidence(hits, calls, base));
    }

    private double failureBase() {
        return Math.max(
                FaultHypothesis.baseShare(mOldFailed, mOldJudged, BASE_FAILURE_SHARE),
                failedShareSinceOrder());
    }

    /** Returns the share of the old version's calls on one route that have failed so far. */
    private double failedShareSinceOrder() {
        return mOld == null || mOld.failed() < 2
                ? 0
                : FaultHypothesis.pooledShare(mOld.failed(), mOld.ended(), 0);
    }

    /**
     * Returns whether failures on the route may be those of the new version.
     *
     * @return false if the old version fails so often that they tell nothing
     */
    boolean judgesFailures() {
        return failureBase() <= MAX_JUDGED_SHARE;
    }

    /**
     * Returns the sum for failures.
     *
     * @return the log-likelihood ratio of a bad version to a good one
     */
    double failureSum() {
        return mFailureSum;
    }

    /**
     * Returns the sum for slow responses.
     *
     * @return the log-likelihood ratio of a bad version to a good one
     */
    double slowSum() {
        return mSlowSum;
    }

    /**
     * Returns how many calls the old version has ended.
     *
     * @return the number; 0 for the sums over all routes
     */
    long oldEnded() {
        return mOld == null ? 0 : mOld.ended();
    }

    /**
     * Returns what all calls on trial show for the new version.
     *
     * @return the log-likelihood ratio of a good version to a bad one, of failures or of slow
     *     responses, whichever is less; 0 if there was no call on trial
     */
    double trust() {
        final double ofSlowness = mTrial.trustBySlowness(BASE_SLOW_SHARE);
        return judgesFailures()
                ? Math.min(ofSlowness, mTrial.trustByFailures(BASE_FAILURE_SHARE))
                : ofSlowness;
    }
}
