package io.bilberrylane.policy;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the offers of one call to gates and decides on further ones.
 *
 * <p>A refusal by a gate costs only time, so the call is offered to each gate in turn, and may
 * queue at a gate from the second round on. A target that may have run the call never gets it
 * again. Not thread-safe.
 */
public final class CallPlan {
    private static final long MIN_QUEUE_TIMEOUT_MILLIS = 12;

    /**
     * How long a call may queue at one gate before it is offered to another, as a fraction of its
     * objective.
     */
    private static final double LATER_ROUND_WAIT_FRACTION = 0.125;

    /** How long a late call may queue at its last gate, as a fraction of its objective. */
    private static final double LAST_RESORT_WAIT_FRACTION = 0.3;

    /**
     * How long a call with a large body waits for a target of its data centre, as a fraction of its
     * objective.
     */
    private static final double LOCAL_WAIT_FRACTION = 0.25;

    private static final int MAX_OFFERS = 30;

    /**
     * The gates that a call is offered to in one round. Where so many in a row refuse it, most
     * others would, too: the call queues at a gate instead of loading all of them with offers.
     */
    private static final int MAX_OFFERS_PER_ROUND = 8;

    private static final int MAX_REMOTE_OFFERS = 3;

    /**
     * The limit of offers while gates refuse calls of the service: most further offers would be
     * refused too, and a gate orders the calls that wait there.
     */
    private static final int MAX_OFFERS_WHEN_SHORT = 4;

    /**
     * How long a call may queue at one gate while capacity is short, as a fraction of its
     * objective. The order of the queue has no effect on calls that leave it early.
     */
    private static final double SHORT_CAPACITY_WAIT_FRACTION = 0.3;

    private final long mTimeoutMillis;
    private final long mObjectiveMillis;
    private final int mMaxRuns;
    private final Set<String> mRunHosts = new HashSet<>();
    private final Set<String> mRefusedInRound = new HashSet<>();
    private int mMaxOffers = MAX_OFFERS;
    private int mMaxOffersPerRound = MAX_OFFERS_PER_ROUND;
    private double mWaitFraction = LATER_ROUND_WAIT_FRACTION;
    private int mRound;
    private int mOffers;
    private int mOffersInRound;
    private int mRemoteOffers;
    private int mRuns;
    private boolean mAllOverloadedInRound = true;
    private boolean mAllOverloaded;
    private boolean mLastResortUsed;

    private CallPlan(final long timeoutMillis, final long objectiveMillis, final int maxRuns) {
        mTimeoutMillis = timeoutMillis;
        mObjectiveMillis = objectiveMillis;
        mMaxRuns = maxRuns;
    }

    /**
     * Returns the plan of a call that was not offered to any gate yet.
     *
     * @param timeoutMillis the longest time until the call's final response, in milliseconds
     * @param objectiveMillis the latency objective, in milliseconds; a later response is not of
     *     full use
     * @param maxRuns the maximum number of targets that may receive the call
     * @return the plan
     */
    public static CallPlan of(
            final long timeoutMillis, final long objectiveMillis, final int maxRuns) {
        return new CallPlan(timeoutMillis, objectiveMillis, maxRuns);
    }

    // -- queries

    /**
     * Returns the hosts to which the call must not be offered now.
     *
     * @return hosts whose targets have received the call or whose gates refused it in this round
     */
    public Set<String> excludedHosts() {
        if (mRunHosts.isEmpty() && mRefusedInRound.isEmpty()) {
            return Set.of();
        }
        final Set<String> hosts = new HashSet<>(mRunHosts);
        hosts.addAll(mRefusedInRound);
        return hosts;
    }

    /**
     * Returns whether the call may be offered to another gate.
     *
     * @return false once a limit on offers or runs is reached, the last resort was used, or all
     *     gates of a round were overloaded
     */
    public boolean canOffer() {
        return mOffers < mMaxOffers && mRuns < mMaxRuns && !mLastResortUsed && !mAllOverloaded;
    }

    /**
     * Returns whether the call was offered to as many gates as one round has.
     *
     * @return true if the next offer belongs to a further round
     */
    public boolean isRoundOver() {
        return mOffersInRound >= mMaxOffersPerRound;
    }

    /**
     * Returns whether another target may receive the call.
     *
     * @return false once as many targets as the route allows have received it
     */
    public boolean canRunAgain() {
        return mRuns < mMaxRuns;
    }

    /**
     * Returns the number of targets that have received the call.
     *
     * @return a count
     */
    public int runs() {
        return mRuns;
    }

    /**
     * Returns whether the call may still be offered to gates of other data centres. The number of
     * such offers is limited, because a refused offer costs a round trip between data centres
     * without a result.
     *
     * @return false once the limit of such offers is reached
     */
    public boolean canOfferRemote() {
        return mRemoteOffers < MAX_REMOTE_OFFERS;
    }

    /**
     * Returns whether a call with a large body may leave its data centre because no target there
     * has started it in time.
     *
     * @param elapsedMillis time since the call arrived, in milliseconds
     * @return false while it should stay in its data centre
     */
    public boolean hasLocalWaitElapsed(final long elapsedMillis) {
        return elapsedMillis >= Math.round(mObjectiveMillis * LOCAL_WAIT_FRACTION);
    }

    /**
     * Returns the number of offers of the call to gates.
     *
     * @return a count
     */
    public int offers() {
        return mOffers;
    }

    /**
     * Returns how long the call may queue at the next gate.
     *
     * @param elapsedMillis time since the call arrived, in milliseconds
     * @param meanServiceMillis the mean time of such a call at a target, in milliseconds
     * @return milliseconds; 0 if the gate must decide as soon as it knows the speed of its target
     */
    public long queueTimeoutMillis(final long elapsedMillis, final long meanServiceMillis) {
        final long remainingMillis = mTimeoutMillis - elapsedMillis;
        if (isLastResort(elapsedMillis, meanServiceMillis)) {
            return Math.min(
                    remainingMillis, Math.round(mObjectiveMillis * LAST_RESORT_WAIT_FRACTION));
        }
        if (mRound == 0) {
            return 0;
        }
        final long feasibleMillis = mObjectiveMillis - elapsedMillis - meanServiceMillis;
        final long laterRoundMillis =
                Math.max(MIN_QUEUE_TIMEOUT_MILLIS, Math.round(mObjectiveMillis * mWaitFraction));
        return Math.max(1, Math.min(Math.min(remainingMillis, feasibleMillis), laterRoundMillis));
    }

    /**
     * Returns whether the next gate is the last one, because the objective can no longer be met or
     * one offer is left.
     *
     * @param elapsedMillis time since the call arrived, in milliseconds
     * @param meanServiceMillis the mean time of such a call at a target, in milliseconds
     * @return true if the gate may run the call late
     */
    public boolean isLastResort(final long elapsedMillis, final long meanServiceMillis) {
        return elapsedMillis + meanServiceMillis >= mObjectiveMillis || mOffers >= mMaxOffers - 1;
    }

    // -- events

    /**
     * Starts with the second round, in which the call may queue, and lowers the limit of offers:
     * gates refuse calls of the service for lack of capacity. Called before the first offer.
     *
     * @param nested whether a running request makes the call; it may be offered to all gates, since
     *     a refusal wastes the work of the request
     */
    public void assumeShortCapacity(final boolean nested) {
        mRound = 1;
        mMaxOffers = nested ? MAX_OFFERS : MAX_OFFERS_WHEN_SHORT;
        mMaxOffersPerRound = mMaxOffers;
        mWaitFraction = SHORT_CAPACITY_WAIT_FRACTION;
    }

    /**
     * Records an offer of the call to a gate.
     *
     * @param lastResort whether the gate is the last one
     * @param remote whether the gate is in another data centre
     */
    public void recordOffer(final boolean lastResort, final boolean remote) {
        mOffers++;
        mOffersInRound++;
        mRemoteOffers += remote ? 1 : 0;
        mLastResortUsed = lastResort;
    }

    /**
     * Records that a gate refused the call; its target has not received it.
     *
     * @param host the gate's host
     * @param overloaded whether too many calls already wait there
     */
    public void recordRefusal(final String host, final boolean overloaded) {
        mRefusedInRound.add(host);
        mAllOverloadedInRound &= overloaded;
    }

    /**
     * Records that a gate could not offer the call to a target, because it has none or is gone
     * itself. If it was the last gate, another one takes its place.
     *
     * @param host the gate's host
     */
    public void recordAbsence(final String host) {
        recordRefusal(host, false);
        mLastResortUsed = false;
        mMaxOffers = Math.min(MAX_OFFERS, mMaxOffers + 1);
    }

    /**
     * Records that a target has received the call and may have run it.
     *
     * @param host the target's host
     */
    public void recordRun(final String host) {
        mRuns++;
        mLastResortUsed = false;
        mAllOverloaded = false;
        mRunHosts.add(host);
    }

    /**
     * Ends a round when no gate is left in it, or when it has had enough of them.
     *
     * @return whether another round makes sense: at least one gate refused the call, and not all
     *     gates have more waiting calls than they can serve in time; a round that was ended early
     *     does not tell that of all gates
     */
    public boolean nextRound() {
        final boolean anyRefused = !mRefusedInRound.isEmpty();
        mAllOverloaded = anyRefused && mRound > 0 && mAllOverloadedInRound && !isRoundOver();
        mRound++;
        mOffersInRound = 0;
        mRefusedInRound.clear();
        mAllOverloadedInRound = true;
        return anyRefused && !mAllOverloaded;
    }
}
