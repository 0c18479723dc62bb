package io.bilberrylane.policy;

import java.util.Set;

/** Decides whether the evidence and the fleet allow the promotion of a version. Not thread-safe. */
final class PromotionCheck {
    /** The least share of the known nodes that must be present to promote or to complete. */
    static final double MIN_PRESENT_SHARE = 0.75;

    /** The part of the bound that the ingresses send; the rest is for what they cannot see. */
    private static final double SHARE_MARGIN = 0.85;

    private static final double MIN_CAPACITY_SHARE = 0.7;
    private static final long MIN_EVIDENCE_CALLS = 24;

    private final RolloutSettings mSettings;
    private final RolloutLedger mLedger;
    private final RolloutJudge mJudge;

    /**
     * Creates a check.
     *
     * @param settings the bounds
     * @param ledger the rows of the gates
     * @param judge the judge that has read them
     */
    PromotionCheck(
            final RolloutSettings settings, final RolloutLedger ledger, final RolloutJudge judge) {
        mSettings = settings;
        mLedger = ledger;
        mJudge = judge;
    }

    /**
     * Returns what stands against a promotion.
     *
     * @param view what the node sees of the fleet
     * @param version the new version
     * @param elapsed the part of the order's time that has passed
     * @return the reason; empty if the version may be promoted
     */
    String obstacle(final RolloutView view, final String version, final double elapsed) {
        if (!hasCapacity(view)) {
            return "new targets have " + view.newSlots() + " of " + view.oldSlots() + " slots";
        }
        if (view.presentShare() < MIN_PRESENT_SHARE || !view.isCurrent()) {
            return "too few nodes are in reach";
        }
        if (!mJudge.isClear(RolloutSchedule.strictness(elapsed))
                || !unclearRoutes(elapsed).isEmpty()) {
            return "the evidence is not clear";
        }
        final long newEnded = ended(version, true);
        final double expected = trialShare() * ended(version, false);
        return newEnded < Math.min(MIN_EVIDENCE_CALLS, Math.floor(expected / 4))
                ? "only " + newEnded + " calls ended at the new version"
                : "";
    }

    /**
     * Returns the routes that lack evidence.
     *
     * @param elapsed the part of the order's time that has passed
     * @return the routes
     */
    Set<Integer> unclearRoutes(final double elapsed) {
        return mJudge.unclearRoutes(trialShare(), RolloutSchedule.strictness(elapsed));
    }

    /**
     * Returns the share of its calls that an ingress sends to the version on trial.
     *
     * @return the share
     */
    double trialShare() {
        return mSettings.exposureShare() * SHARE_MARGIN;
    }

    /**
     * Returns whether the new targets can take the calls of the old ones.
     *
     * @param view what the node sees of the fleet
     * @return true if they have nearly as many slots
     */
    static boolean hasCapacity(final RolloutView view) {
        return view.newSlots() > 0 && view.newSlots() >= view.oldSlots() * MIN_CAPACITY_SHARE;
    }

    private long ended(final String version, final boolean ofVersion) {
        return mLedger.totals(version, ofVersion).values().stream()
                .mapToLong(RouteCounts::ended)
                .sum();
    }
}
