package io.bilberrylane.node;

import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.policy.QuotaAllowance;
import io.bilberrylane.policy.QuotaAnswer;
import io.bilberrylane.policy.QuotaAsk;
import io.bilberrylane.policy.QuotaBounds;
import io.bilberrylane.policy.QuotaGrant;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The limits of organisations at this node: spends allowances for the calls of its ingress,
 * requests more from the owners, and grants allowances for the limits that this node owns in part.
 * Without an organisation that has a limit it holds no state and sends nothing.
 */
final class QuotaService implements TokenSource, AutoCloseable {
    private static final long OWNER_TICK_MILLIS = 100;
    private static final long WAITER_TICK_MILLIS = 10;

    /** A reply that is later than this is lost, and its calls with it. */
    private static final long REPLY_TIMEOUT_MILLIS = 400;

    /** The answer of a call whose organisation has no limit. */
    private static final QuotaAnswer UNLIMITED = new QuotaAnswer(0, true, 0, 0, "");

    private final Transport mTransport;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final Supplier<Catalogue> mCatalogue;
    private final Supplier<QuotaBounds> mBounds;
    private final QuotaCounters mCounters = new QuotaCounters();
    private final QuotaRefusals mRefusals;
    private final RankedLock mLock = RankedLock.of(LockRank.QUOTA);
    private final QuotaState mState;
    private boolean mWaiterTickScheduled;
    private Runnable mStopTicks = () -> {};

    private QuotaService(
            final Transport transport,
            final NodeIdentity identity,
            final MembershipService membership,
            final PeerLinks links,
            final Supplier<Catalogue> catalogue,
            final Supplier<QuotaBounds> bounds) {
        mTransport = transport;
        mMembership = membership;
        mLinks = links;
        mCatalogue = catalogue;
        mBounds = bounds;
        mState = new QuotaState(identity, mCounters);
        mRefusals = new QuotaRefusals(mCounters, () -> mState.inputs().catalogue());
    }

    /** Starts a service. */
    static QuotaService start(
            final Transport transport,
            final NodeIdentity identity,
            final MembershipService membership,
            final PeerLinks links,
            final Supplier<Catalogue> catalogue,
            final Supplier<QuotaBounds> bounds) {
        final QuotaService service =
                new QuotaService(transport, identity, membership, links, catalogue, bounds);
        service.mStopTicks =
                transport
                        .ticker()
                        .every(OWNER_TICK_MILLIS, GuardedTask.of("quota tick", service::tick));
        return service;
    }

    QuotaCounters counters() {
        return mCounters;
    }

    // -- limits and owners in force

    private void tick() {
        refresh(mMembership.changeCount());
        if (mState.hasOwner()) {
            mLock.run(mState::tickOwner);
        }
    }

    /** Applies a changed catalogue at once; changes of the members are gathered for a tick. */
    private void refresh() {
        refresh(mState.inputs().changeCount());
    }

    private void refresh(final long changeCount) {
        final QuotaState.Inputs inputs =
                new QuotaState.Inputs(mCatalogue.get(), mBounds.get(), changeCount);
        if (inputs.isSameAs(mState.inputs())) {
            return;
        }
        if (!inputs.hasLimits() && !mState.hasLimits()) {
            mState.setInputs(inputs);
            return;
        }
        final QuotaPeers.View view = QuotaPeers.viewOf(mMembership.members());
        final List<QuotaState.Waiter> unlimited =
                mLock.get(
                        () -> {
                            mState.apply(inputs, view);
                            return mState.takeUnlimitedWaiters();
                        });
        unlimited.forEach(waiter -> waiter.deliver(UNLIMITED));
    }

    // -- calls of this ingress

    @Override
    public boolean isLimited(final String organisation) {
        refresh();
        return mState.isLimited(organisation);
    }

    @Override
    public long remainingNanos(final long expiryNanos) {
        return mLock.get(() -> expiryNanos - mState.agingNanos());
    }

    @Override
    public void reserve(
            final String organisation,
            final EventExecutor executor,
            final Consumer<QuotaAnswer> consumer) {
        runThenDispatch(
                organisation,
                (allowance, nowNanos) -> {
                    final long waiter =
                            mState.addWaiter(
                                    new QuotaState.Waiter(organisation, executor, consumer));
                    allowance.request(waiter, nowNanos);
                },
                () -> consumer.accept(UNLIMITED));
    }

    @Override
    public void release(final String organisation, final long expiryNanos) {
        mCounters.recordReleased();
        runThenDispatch(
                organisation,
                (allowance, nowNanos) -> allowance.release(expiryNanos, nowNanos),
                () -> {});
    }

    @Override
    public void recordSpent() {
        mCounters.recordSpent();
    }

    /** An event of an allowance. */
    @FunctionalInterface
    private interface AllowanceEvent {
        void apply(QuotaAllowance allowance, long nowNanos);
    }

    /** Applies an event under the lock, then sends requests and delivers answers without it. */
    private void runThenDispatch(
            final String organisation, final AllowanceEvent event, final Runnable ifUnlimited) {
        final DeferredActions actions = new DeferredActions();
        mLock.run(
                () -> {
                    if (!mState.isLimited(organisation)) {
                        actions.add(ifUnlimited);
                        return;
                    }
                    final long nowNanos = mState.agingNanos();
                    final QuotaAllowance allowance = mState.allowance(organisation, nowNanos);
                    event.apply(allowance, nowNanos);
                    collect(organisation, allowance, nowNanos, actions);
                });
        actions.runAll();
    }

    /** Collects what the allowance decided; requests to this node itself are granted here. */
    private void collect(
            final String organisation,
            final QuotaAllowance allowance,
            final long nowNanos,
            final DeferredActions actions) {
        List<QuotaAsk> asks = allowance.takeAsks();
        while (!asks.isEmpty()) {
            for (final QuotaAsk ask : asks) {
                if (mState.isSelf(ask.owner())) {
                    final QuotaGrant grant = mState.grant(organisation, ask.wanted());
                    mCounters.recordReceived(grant.calls());
                    allowance.onReply(ask, grant, nowNanos);
                } else {
                    final Optional<InetSocketAddress> address = mState.address(ask.owner());
                    actions.add(() -> send(organisation, ask, address));
                }
            }
            asks = allowance.takeAsks();
        }
        for (final QuotaAnswer answer : allowance.takeAnswers()) {
            if (!answer.granted()) {
                final long grantAgeNanos = nowNanos - allowance.grantedNanos();
                final int tokens = allowance.tokens(nowNanos);
                actions.add(() -> mRefusals.record(organisation, answer, tokens, grantAgeNanos));
            }
            final QuotaState.Waiter waiter = mState.removeWaiter(answer.waiter());
            actions.add(() -> waiter.deliver(answer));
        }
        if (allowance.hasWaiters() && !mWaiterTickScheduled) {
            mWaiterTickScheduled = true;
            actions.add(this::scheduleWaiterTick);
        }
    }

    private void scheduleWaiterTick() {
        mTransport
                .group()
                .schedule(
                        GuardedTask.of("quota waiters", this::tickWaiters),
                        WAITER_TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void tickWaiters() {
        final List<String> organisations =
                mLock.get(
                        () -> {
                            mWaiterTickScheduled = false;
                            return mState.organisationsWithWaiters();
                        });
        organisations.forEach(name -> runThenDispatch(name, QuotaAllowance::tick, () -> {}));
    }

    // -- requests to owners

    private void send(
            final String organisation,
            final QuotaAsk ask,
            final Optional<InetSocketAddress> address) {
        mCounters.recordRequest();
        if (address.isEmpty()) {
            onReply(organisation, ask, Optional.empty());
            return;
        }
        mLinks.request(
                address.get(),
                id -> new PeerMessage.QuotaRequest(id, organisation, ask.wanted()),
                REPLY_TIMEOUT_MILLIS,
                reply -> onReply(organisation, ask, reply));
    }

    private void onReply(
            final String organisation,
            final QuotaAsk ask,
            final Optional<PeerMessage.Reply> reply) {
        runThenDispatch(
                organisation,
                (allowance, nowNanos) -> {
                    if (reply.isPresent() && reply.get() instanceof PeerMessage.QuotaReply grant) {
                        final int calls = Math.clamp(grant.calls(), 0, ask.wanted());
                        mCounters.recordReceived(calls);
                        allowance.onReply(
                                ask,
                                new QuotaGrant(calls, Math.max(0, grant.retryAfterNanos())),
                                nowNanos);
                    } else {
                        allowance.onNoReply(ask, nowNanos);
                    }
                },
                () -> {});
    }

    /** Replies to a request of another node, without blocking. */
    PeerMessage.QuotaReply replyTo(final PeerMessage.QuotaRequest request) {
        refresh();
        final QuotaGrant grant =
                mLock.get(() -> mState.grant(request.organisation(), request.calls()));
        return new PeerMessage.QuotaReply(
                request.requestId(), grant.calls(), grant.retryAfterNanos());
    }

    @Override
    public void close() {
        mStopTicks.run();
    }
}
