package io.bilberrylane.policy;

import java.util.HashSet;
import java.util.Set;

/**
 * How one call goes from gate to gate. A gate that refuses costs nothing but time, so that each
 * gate is asked in turn with more patience each round; a target that has seen the call is never
 * asked again. Not thread-safe.
 */
public final class CallPlan {
    private static final long MIN_QUEUE_TIMEOUT_MILLIS = 12;

    /** How long a call waits at one gate before it looks for a better one, of its objective. */
    private static final double LATER_ROUND_WAIT_FRACTION = 0.125;

    /** How long a late call waits at its last gate, as a part of its objective. */
    private static final double LAST_RESORT_WAIT_FRACTION = 0.3;

    /** How long a long body waits for a target of its data centre, as a part of its objective. */
    private static final double LOCAL_WAIT_FRACTION = 0.25;

    private static final int MAX_OFFERS = 30;
    private static final int MAX_REMOTE_OFFERS = 3;

    private final long mTimeoutMillis;
    private final long mObjectiveMillis;
    private final int mMaxRuns;
    private final Set<String> mRunHosts = new HashSet<>();
    private final Set<String> mRefusedInRound = new HashSet<>();
    private int mRound;
    private int mOffers;
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
     * Returns the plan of a call that was offered to no gate yet.
     *
     * @param timeoutMillis the longest time until its final answer, in milliseconds
     * @param objectiveMillis the time within which an answer is of full use, in milliseconds
     * @param maxRuns the most targets that may see it
     * @return the plan
     */
    public static CallPlan of(
            final long timeoutMillis, final long objectiveMillis, final int maxRuns) {
        return new CallPlan(timeoutMillis, objectiveMillis, maxRuns);
    }

    // -- queries

    /**
     * Returns the hosts that are not to be asked now.
     *
     * @return hosts whose targets have seen the call, or whose gates have refused it in this round
     */
    public Set<String> excludedHosts() {
        final Set<String> hosts = new HashSet<>(mRunHosts);
        hosts.addAll(mRefusedInRound);
        return hosts;
    }

    /**
     * Returns whether the call may be offered to a gate.
     *
     * @return false once it has been offered often enough
     */
    public boolean canOffer() {
        return mOffers < MAX_OFFERS && mRuns < mMaxRuns && !mLastResortUsed && !mAllOverloaded;
    }

    /**
     * Returns whether another target may see the call.
     *
     * @return false once as many have as the route allows
     */
    public boolean canRunAgain() {
        return mRuns < mMaxRuns;
    }

    /**
     * Returns how many targets have seen the call.
     *
     * @return a count
     */
    public int runs() {
        return mRuns;
    }

    /**
     * Returns whether gates of other data centres may still be asked; each question crosses data
     * centres for nothing when it is refused.
     *
     * @return false once enough were asked
     */
    public boolean canOfferRemote() {
        return mRemoteOffers < MAX_REMOTE_OFFERS;
    }

    /**
     * Returns whether a call with a long body may leave its data centre, since no target there has
     * begun it so far.
     *
     * @param elapsedMillis time since the call came, in milliseconds
     * @return false while it should stay
     */
    public boolean hasLocalWaitElapsed(final long elapsedMillis) {
        return elapsedMillis >= Math.round(mObjectiveMillis * LOCAL_WAIT_FRACTION);
    }

    /**
     * Returns how often the call was offered to a gate.
     *
     * @return a count
     */
    public int offers() {
        return mOffers;
    }

    /**
     * Returns how long the next gate may let the call wait.
     *
     * @param elapsedMillis time since the call came, in milliseconds
     * @param meanServiceMillis how long the call usually takes at a target, in milliseconds
     * @return milliseconds; 0 when the gate is to answer as soon as it knows its target's speed
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
                Math.max(
                        MIN_QUEUE_TIMEOUT_MILLIS,
                        Math.round(mObjectiveMillis * LATER_ROUND_WAIT_FRACTION));
        return Math.max(1, Math.min(Math.min(remainingMillis, feasibleMillis), laterRoundMillis));
    }

    /**
     * Returns whether the next gate is the last to be asked: the objective is out of reach.
     *
     * @param elapsedMillis time since the call came, in milliseconds
     * @param meanServiceMillis how long the call usually takes at a target, in milliseconds
     * @return true when the gate may run it late
     */
    public boolean isLastResort(final long elapsedMillis, final long meanServiceMillis) {
        return elapsedMillis + meanServiceMillis >= mObjectiveMillis || mOffers >= MAX_OFFERS - 1;
    }

    // -- events

    /**
     * The call is offered to a gate.
     *
     * @param lastResort whether the gate is the last to be asked
     * @param remote whether the gate is in another data centre
     */
    public void recordOffer(final boolean lastResort, final boolean remote) {
        mOffers++;
        mRemoteOffers += remote ? 1 : 0;
        mLastResortUsed = lastResort;
    }

    /**
     * A gate has refused the call; its target has not seen it.
     *
     * @param host the gate's host
     * @param overloaded whether too many calls wait there already
     */
    public void recordRefusal(final String host, final boolean overloaded) {
        mRefusedInRound.add(host);
        mAllOverloadedInRound &= overloaded;
    }

    /**
     * A target has seen the call.
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
     * No gate is left in this round.
     *
     * @return whether another round makes sense: some gate has refused, and not all gates have more
     *     calls waiting than they can serve in time
     */
    public boolean nextRound() {
        final boolean anyRefused = !mRefusedInRound.isEmpty();
        mAllOverloaded = anyRefused && mRound > 0 && mAllOverloadedInRound;
        mRound++;
        mRefusedInRound.clear();
        mAllOverloadedInRound = true;
        return anyRefused && !mAllOverloaded;
    }
}
