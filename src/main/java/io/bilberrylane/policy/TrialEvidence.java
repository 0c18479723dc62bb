package io.bilberrylane.policy;

/**
 * What all calls of a route on trial show together. They are compared with the old version's calls
 * of the same moments, so that failures of the service that begin or end during the trial count for
 * both versions alike, however the calls on trial are spread over its time. Not thread-safe.
 */
final class TrialEvidence {
    /** The calls of the old version that are taken as one moment. */
    private static final double MOMENT_CALLS = 8;

    private double mEnded;
    private double mFailed;
    private double mSlow;

    /** The calls on trial that were compared, and what a good version would have shown in them. */
    private double mCompared;

    private double mOldCompared;
    private double mExpectedFailed;
    private double mExpectedSlow;

    private double mMomentNew;
    private double mMomentOld;
    private double mMomentFailed;
    private double mMomentSlow;

    /**
     * Adds calls.
     *
     * @param growth the calls
     */
    void add(final CallGrowth growth) {
        mEnded += growth.newEnded();
        mFailed += growth.newFailed();
        mSlow += growth.newSlow();
        mMomentNew += growth.newEnded();
        mMomentOld += growth.oldEnded();
        mMomentFailed += growth.oldFailed();
        mMomentSlow += growth.oldSlow();
        if (mMomentOld >= MOMENT_CALLS) {
            endMoment();
        }
    }

    private void endMoment() {
        mCompared += mMomentNew;
        mOldCompared += mMomentNew > 0 ? mMomentOld : 0;
        mExpectedFailed += mMomentNew * mMomentFailed / mMomentOld;
        mExpectedSlow += mMomentNew * mMomentSlow / mMomentOld;
        mMomentNew = 0;
        mMomentOld = 0;
        mMomentFailed = 0;
        mMomentSlow = 0;
    }

    /**
     * Returns what the failures show.
     *
     * @param leastShare the least share of failures that a good version is assumed to have
     * @return the log-likelihood ratio of a good version to a bad one
     */
    double trustByFailures(final double leastShare) {
        return trust(mFailed, mExpectedFailed, leastShare);
    }

    /**
     * Returns what the service times show.
     *
     * @param leastShare the least share of slow responses that a good version is assumed to have
     * @return the log-likelihood ratio of a good version to a bad one
     */
    double trustBySlowness(final double leastShare) {
        return trust(mSlow, mExpectedSlow, leastShare);
    }

    private double trust(final double hits, final double expected, final double leastShare) {
        final double base =
                mCompared == 0
                        ? leastShare
                        : FaultHypothesis.baseShare(
                                expected / mCompared * mOldCompared, mOldCompared, leastShare);
        return -FaultHypothesis.evidence(hits, mEnded, base);
    }
}
