package io.bilberrylane.policy;

import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One roll-out as a node sees it: its order, its phase and the evidence. Nodes that have the same
 * evidence reach the same phase; a node that is told of a later phase takes it over. Not
 * thread-safe.
 */
public final class Rollout {
    /** The part of the bound that the gates let in. */
    private static final double GATE_MARGIN = 0.95;

    /** The new targets may be missing from one view of the members without being gone. */
    private static final int MAX_TICKS_WITHOUT_TARGETS = 3;

    private final RolloutLedger mLedger = new RolloutLedger();
    private int mTicksWithoutTargets;
    private final RolloutJudge mJudge = new RolloutJudge();
    private final PromotionCheck mCheck;
    private final RolloutSettings mSettings;
    private final RolloutIdentity mIdentity;
    private RolloutPhase mPhase = RolloutPhase.TRIAL;
    private String mReason = "";
    private long mStartNanos;
    private long mPromotionNanos;
    private Set<Integer> mNeededRoutes = Set.of();

    /**
     * Creates a roll-out that has just become known.
     *
     * @param order the order
     * @param settings the bounds
     * @param nowNanos the monotonic clock
     */
    public Rollout(final RolloutOrder order, final RolloutSettings settings, final long nowNanos) {
        mIdentity = new RolloutIdentity(order);
        mSettings = Objects.requireNonNull(settings, "settings is null");
        mCheck = new PromotionCheck(settings, mLedger, mJudge);
        mStartNanos = nowNanos;
        applyState(order.state());
    }

    // -- state

    /**
     * Returns the order as last read from the platform.
     *
     * @return the order
     */
    public RolloutOrder order() {
        return mIdentity.order();
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public RolloutPhase phase() {
        return mPhase;
    }

    /**
     * Returns the revision at which the order was written.
     *
     * @return the revision; 0 if it is not known
     */
    public long generation() {
        return mIdentity.generation();
    }

    /**
     * Returns why the roll-out was stopped.
     *
     * @return the reason, empty if it was not stopped
     */
    public String reason() {
        return mReason;
    }

    /**
     * Returns the rows of the gates.
     *
     * @return the ledger
     */
    public RolloutLedger ledger() {
        return mLedger;
    }

    /**
     * Returns what other nodes are told.
     *
     * @param known whether this node has the state of the order
     * @param nowNanos the monotonic clock
     * @return the summary
     */
    public RolloutSummary summary(final boolean known, final long nowNanos) {
        return new RolloutSummary(
                order().service(),
                order().version(),
                generation(),
                mPhase,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - mStartNanos),
                known,
                mReason);
    }

    /**
     * Returns whether an order is another one than this, rather than a later state of the same.
     *
     * @param other the order
     * @return true if its version differs, or if it has been written anew since: an order begins
     *     without a state, and one that has ended does not run again
     */
    public boolean isSupersededBy(final RolloutOrder other) {
        return mIdentity.isSupersededBy(other);
    }

    /**
     * Returns whether the platform's state, as last read, is that of a later order: another node
     * has seen this order being written before that state. The order was then deleted and written
     * again, and this node has missed both.
     *
     * @param summary what the other node tells
     * @return true if this roll-out is not that of the platform's state
     */
    public boolean isOutdatedBy(final RolloutSummary summary) {
        return mIdentity.isOutdatedBy(summary);
    }

    /**
     * Takes over a later state of the same order.
     *
     * @param order the order with its status
     */
    public void update(final RolloutOrder order) {
        if (mIdentity.update(order)) {
            applyState(order.state());
        }
    }

    private void applyState(final RolloutState state) {
        if (state == RolloutState.COMPLETED) {
            mPhase = RolloutPhase.COMPLETED;
        } else if (state == RolloutState.ROLLED_BACK && mPhase.isOpen()) {
            stop("rolled back in the platform");
        }
    }

    /**
     * Takes over what another node tells.
     *
     * @param summary the summary of the same service
     * @param nowNanos the monotonic clock
     * @return whether the summary is about this order
     */
    public boolean merge(final RolloutSummary summary, final long nowNanos) {
        if (!mIdentity.takeOver(summary)) {
            return false;
        }
        mStartNanos =
                Math.min(
                        mStartNanos, nowNanos - TimeUnit.MILLISECONDS.toNanos(summary.ageMillis()));
        // Only the platform can tell that a roll-out is complete.
        if (summary.phase() != RolloutPhase.COMPLETED && summary.phase().compareTo(mPhase) > 0) {
            enter(summary.phase(), nowNanos);
            mReason = summary.reason();
        }
        return true;
    }

    /**
     * Stops the new version unless the roll-out is complete.
     *
     * @param reason why
     */
    public void stop(final String reason) {
        if (mPhase.isOpen()) {
            mPhase = RolloutPhase.STOPPED;
            mReason = reason;
        }
    }

    private void enter(final RolloutPhase phase, final long nowNanos) {
        mPhase = phase;
        if (phase == RolloutPhase.PROMOTING) {
            mPromotionNanos = nowNanos;
        }
    }

    // -- decisions

    /**
     * Judges the evidence and enters the next phase if it is time.
     *
     * @param view what the node sees of the fleet
     * @param nowNanos the monotonic clock
     * @return whether the phase has changed
     */
    public boolean evaluate(final RolloutView view, final long nowNanos) {
        final RolloutPhase before = mPhase;
        mJudge.update(mLedger, order().version(), nowNanos).ifPresent(this::stop);
        switch (mPhase) {
            case TRIAL -> evaluateTrial(view, nowNanos);
            case PROMOTING -> evaluatePromotion(view, nowNanos);
            case MOVED -> evaluateMove(view);
            case STOPPED, COMPLETED -> {}
        }
        return before != mPhase;
    }

    private void evaluateTrial(final RolloutView view, final long nowNanos) {
        final double elapsed = elapsedShare(nowNanos);
        mNeededRoutes = RolloutSchedule.focuses(elapsed) ? mCheck.unclearRoutes(elapsed) : Set.of();
        if (RolloutSchedule.isTooLate(elapsed)) {
            stop("not promoted in time: " + mCheck.obstacle(view, order().version(), elapsed));
        } else if (RolloutSchedule.mayPromote(elapsed)
                && mCheck.obstacle(view, order().version(), elapsed).isEmpty()) {
            enter(RolloutPhase.PROMOTING, nowNanos);
        }
    }

    private void evaluatePromotion(final RolloutView view, final long nowNanos) {
        final double overlapNanos = RolloutSchedule.overlapNanos(order().durationMillis());
        if (nowNanos - mPromotionNanos >= overlapNanos
                && PromotionCheck.hasCapacity(view)
                && view.isCurrent()) {
            enter(RolloutPhase.MOVED, nowNanos);
        }
    }

    private void evaluateMove(final RolloutView view) {
        if (view.isCurrent()) {
            mTicksWithoutTargets = view.newSlots() == 0 ? mTicksWithoutTargets + 1 : 0;
            if (mTicksWithoutTargets >= MAX_TICKS_WITHOUT_TARGETS) {
                stop("the new targets are gone");
            }
        }
    }

    /**
     * Returns whether calls of a route may go on trial. Once the trial could end, only routes that
     * lack evidence get the share of all, so that the calls go where they decide.
     *
     * @param route the route
     * @return false if other routes need the calls
     */
    public boolean needsTrialOf(final int route) {
        return mNeededRoutes.isEmpty() || mNeededRoutes.contains(route);
    }

    private double elapsedShare(final long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mStartNanos)
                / (double) order().durationMillis();
    }

    /**
     * Returns whether the platform may be told that the roll-out is complete.
     *
     * @param view what the node sees of the fleet
     * @return true if every present gate of another version is closed and empty
     */
    public boolean mayComplete(final RolloutView view) {
        return mPhase == RolloutPhase.MOVED
                && view.isCurrent()
                && view.presentShare() >= PromotionCheck.MIN_PRESENT_SHARE
                && view.oldRows().stream().allMatch(this::isDrained);
    }

    private boolean isDrained(final String key) {
        return mLedger.row(key).map(row -> row.drainedFor() >= generation()).orElse(false);
    }

    /**
     * Returns the share of its calls that an ingress sends to the version on trial.
     *
     * @return the share
     */
    public double ingressShare() {
        return mCheck.trialShare();
    }

    /**
     * Returns whether a gate beside a target on trial may let another call in, by the calls that
     * all gates are known to have let in.
     *
     * @return false if the new version has had its share
     */
    public boolean isWithinExposure() {
        final double all = mLedger.started();
        final double bound = mSettings.exposureShare() * all + mSettings.exposureSlack() / 2;
        return mLedger.started(order().version()) + 1 <= GATE_MARGIN * bound;
    }
}
