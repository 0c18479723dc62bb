package io.bilberrylane.policy;

/** The shares of bad responses that a good and a bad version are assumed to have. */
final class FaultHypothesis {
    /** The excess over the old version that a bad version is assumed to have at least. */
    private static final double BAD_EXCESS = 0.28;

    private static final double MAX_SHARE = 0.95;

    /** The assumed calls of the old version; more of them hide what few calls of a route show. */
    private static final double PRIOR_CALLS = 4;

    /** The margin for the uncertainty of few calls, in standard deviations. */
    private static final double MARGIN_DEVIATIONS = 1.5;

    private FaultHypothesis() {}

    /**
     * Returns the share of bad responses that a good version is assumed to have: that of the old
     * one, raised by the uncertainty of few calls.
     *
     * @param hits the bad responses of the old version
     * @param calls its calls
     * @param least the least share
     * @return the share
     */
    static double baseShare(final double hits, final double calls, final double least) {
        if (hits < 1) {
            return least;
        }
        final double share = pooledShare(hits, calls, least);
        final double margin =
                MARGIN_DEVIATIONS * Math.sqrt(share * (1 - share) / (calls + PRIOR_CALLS));
        return Math.min(MAX_SHARE - BAD_EXCESS / 2, Math.max(least, share + margin));
    }

    /**
     * Returns the share of bad responses among calls and a few assumed ones.
     *
     * @param hits the bad responses
     * @param calls the calls
     * @param least the share among the assumed calls
     * @return the share
     */
    static double pooledShare(final double hits, final double calls, final double least) {
        return Math.min(
                MAX_SHARE - BAD_EXCESS / 2, (hits + least * PRIOR_CALLS) / (calls + PRIOR_CALLS));
    }

    /**
     * Returns what responses say.
     *
     * @param hits the bad responses
     * @param calls all responses
     * @param base the share of bad responses of a good version
     * @return the log-likelihood ratio of a bad version to a good one
     */
    static double evidence(final double hits, final double calls, final double base) {
        final double bad = Math.min(MAX_SHARE, base + BAD_EXCESS);
        return hits * Math.log(bad / base) + (calls - hits) * Math.log((1 - bad) / (1 - base));
    }
}
