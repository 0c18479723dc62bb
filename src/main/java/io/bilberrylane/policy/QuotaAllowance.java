package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.IntConsumer;

/**
 * The allowance of one organisation at one ingress: spends tokens, requests more from the owners
 * ahead of need, and lets calls wait for a reply. All times are of the {@link AgingClock}. Not
 * thread-safe.
 */
public final class QuotaAllowance {
    /** A call waits for at most this time for an allowance. */
    private static final long MAX_WAIT_NANOS = 400_000_000L;

    /**
     * A call of an ingress that has just been started waits for its owners to start, too, for at
     * most this time.
     */
    private static final long MAX_START_WAIT_NANOS = 600_000_000L;

    private record Waiter(long id, long sinceNanos) {}

    private final long mStartEndNanos;
    private final QuotaTokens mTokens;
    private final QuotaOwnerStates mOwners = new QuotaOwnerStates();
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final QuotaDemand mDemand;
    private final QuotaFloor mFloor;
    private final List<QuotaAnswer> mAnswers = new ArrayList<>();
    private QuotaPlan mPlan;
    private long mGrantedNanos;

    private QuotaAllowance(
            final QuotaPlan plan,
            final long startEndNanos,
            final long nowNanos,
            final IntConsumer onLapsed) {
        mPlan = plan;
        mStartEndNanos = startEndNanos;
        mTokens = new QuotaTokens(onLapsed);
        mDemand = new QuotaDemand(nowNanos);
        mFloor = new QuotaFloor(nowNanos);
        mGrantedNanos = nowNanos;
    }

    /**
     * Returns an allowance without tokens.
     *
     * @param plan how the limit is divided
     * @param startEndNanos the time up to which owners may have just been started, together with
     *     this ingress
     * @param nowNanos the aging clock
     * @param onLapsed receives how many tokens have expired unspent
     * @return the allowance
     */
    public static QuotaAllowance of(
            final QuotaPlan plan,
            final long startEndNanos,
            final long nowNanos,
            final IntConsumer onLapsed) {
        return new QuotaAllowance(plan, startEndNanos, nowNanos, onLapsed);
    }

    // -- events

    /**
     * Sets the plan and the owners in force.
     *
     * @param plan how the limit is divided
     * @param owners the hosts of the owners, in the order in which they are asked
     */
    public void update(final QuotaPlan plan, final List<String> owners) {
        mPlan = plan;
        mOwners.update(owners);
    }

    /**
     * Records a call, which is answered at once or waits for a reply of an owner.
     *
     * @param waiter identifies the call
     * @param nowNanos the aging clock
     */
    public void request(final long waiter, final long nowNanos) {
        mDemand.record(nowNanos);
        mWaiters.addLast(new Waiter(waiter, nowNanos));
        proceed(nowNanos);
        askAhead(nowNanos);
    }

    /**
     * Takes back the token of a call that certainly did not reach a target.
     *
     * @param expiryNanos when the token expires
     * @param nowNanos the aging clock
     */
    public void release(final long expiryNanos, final long nowNanos) {
        if (nowNanos - expiryNanos < 0) {
            mTokens.add(1, expiryNanos);
            proceed(nowNanos);
        }
    }

    /**
     * Records the reply of an owner, which may come late. The tokens expire by the time of the
     * request, which is before the time of the grant.
     *
     * @param ask the request
     * @param grant the reply
     * @param nowNanos the aging clock
     */
    public void onReply(final QuotaAsk ask, final QuotaGrant grant, final long nowNanos) {
        mOwners.onReply(ask, grant, nowNanos);
        if (grant.calls() > 0) {
            mGrantedNanos = nowNanos;
        }
        mTokens.add(grant.calls(), ask.sentNanos() + mPlan.leaseNanos());
        proceed(nowNanos);
    }

    /**
     * Records that an owner does not reply.
     *
     * @param ask the request
     * @param nowNanos the aging clock
     */
    public void onNoReply(final QuotaAsk ask, final long nowNanos) {
        mOwners.onNoReply(ask, nowNanos);
        proceed(nowNanos);
    }

    /**
     * Ends waits that take too long, and passes over slow owners. Due every few milliseconds while
     * calls wait.
     *
     * @param nowNanos the aging clock
     */
    public void tick(final long nowNanos) {
        mOwners.tick(nowNanos);
        proceed(nowNanos);
    }

    // -- decisions

    private void proceed(final long nowNanos) {
        serveWaiters(nowNanos);
        int unmet = mWaiters.size() - mOwners.pendingCalls();
        while (unmet > 0) {
            final int ahead = mDemand.aheadCalls(mPlan.leaseNanos(), nowNanos);
            final String host =
                    ahead > 0
                            ? mOwners.leastRecentlyAsked(nowNanos)
                            : mOwners.firstUsable(nowNanos);
            if (host == null) {
                break;
            }
            final int wanted = unmet + ahead;
            mOwners.ask(host, wanted, nowNanos);
            unmet -= wanted;
        }
        refuseWaiters(nowNanos);
    }

    private void serveWaiters(final long nowNanos) {
        while (!mWaiters.isEmpty()) {
            final OptionalLong expiryNanos = mTokens.take(nowNanos);
            if (expiryNanos.isEmpty()) {
                return;
            }
            grant(mWaiters.pollFirst(), expiryNanos.getAsLong());
        }
    }

    /** Refuses the calls that no outstanding request can serve, and those that waited too long. */
    private void refuseWaiters(final long nowNanos) {
        final boolean isNoneAsked = mOwners.isNoneAsked();
        while (!mWaiters.isEmpty()) {
            final Waiter waiter = mWaiters.peekFirst();
            if (mayWait(waiter, isNoneAsked, nowNanos)) {
                return;
            }
            mWaiters.pollFirst();
            if (takeFloor(nowNanos)) {
                grant(waiter, nowNanos + mPlan.leaseNanos());
            } else {
                mAnswers.add(
                        new QuotaAnswer(
                                waiter.id(),
                                false,
                                0,
                                mOwners.retryAfterNanos(nowNanos),
                                mOwners.describe()));
            }
        }
    }

    /** Returns whether a call waits for a reply, or for owners that have just been started. */
    private boolean mayWait(final Waiter waiter, final boolean isNoneAsked, final long nowNanos) {
        final long waitedNanos = nowNanos - waiter.sinceNanos();
        if (nowNanos - mStartEndNanos < 0) {
            return waitedNanos + (isNoneAsked ? mOwners.retryAfterNanos(nowNanos) : 0)
                    < MAX_START_WAIT_NANOS;
        }
        return !isNoneAsked && waitedNanos < MAX_WAIT_NANOS;
    }

    private void grant(final Waiter waiter, final long expiryNanos) {
        mAnswers.add(new QuotaAnswer(waiter.id(), true, expiryNanos, 0, ""));
    }

    /** The floor may be spent only while no owner replies. */
    private boolean takeFloor(final long nowNanos) {
        return !mOwners.isAnyReached() && mFloor.take(mPlan, nowNanos);
    }

    // -- requests to owners

    private void askAhead(final long nowNanos) {
        final boolean isDue =
                mDemand.isAskDueEarly(mTokens.count(nowNanos), mPlan.leaseNanos(), nowNanos);
        if (!isDue || !mWaiters.isEmpty() || mOwners.pendingCalls() > 0) {
            return;
        }
        final String host = mOwners.leastRecentlyAsked(nowNanos);
        if (host != null) {
            mOwners.ask(host, mDemand.aheadCalls(mPlan.leaseNanos(), nowNanos), nowNanos);
        }
    }

    // -- results

    /**
     * Returns the answers since the last time.
     *
     * @return the answers, in the order of the calls
     */
    public List<QuotaAnswer> takeAnswers() {
        if (mAnswers.isEmpty()) {
            return List.of();
        }
        final List<QuotaAnswer> copy = List.copyOf(mAnswers);
        mAnswers.clear();
        return copy;
    }

    /**
     * Returns the requests to send since the last time.
     *
     * @return the requests
     */
    public List<QuotaAsk> takeAsks() {
        return mOwners.takeAsks();
    }

    /**
     * Returns whether a call waits.
     *
     * @return true if {@link #tick} is due
     */
    public boolean hasWaiters() {
        return !mWaiters.isEmpty();
    }

    /**
     * Returns the tokens that may be spent.
     *
     * @param nowNanos the aging clock
     * @return the number of calls
     */
    public int tokens(final long nowNanos) {
        return mTokens.count(nowNanos);
    }

    /**
     * Returns when an owner last granted tokens.
     *
     * @return the time on the aging clock
     */
    public long grantedNanos() {
        return mGrantedNanos;
    }
}
