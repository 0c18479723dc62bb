package io.bilberrylane.node;

import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.CallRouter;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.Candidate;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.policy.LoadTable;
import io.bilberrylane.policy.RetryBudget;
import io.bilberrylane.policy.SelectionCriteria;
import io.bilberrylane.policy.TargetLoad;
import io.bilberrylane.policy.TargetSelector;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Chooses targets for the calls of one ingress and opens the calls at their gates. */
public final class Router implements CallRouter {
    private static final long OUTCOME_TIMEOUT_MILLIS = 1_000;

    private final NodeIdentity mIdentity;
    private final ConfigurationService mConfiguration;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final Gate mGate;
    private final RankedLock mLock = RankedLock.of(LockRank.ROUTING);
    private final LoadTable mLoads = LoadTable.empty();
    private final TargetSelector mSelector;
    private final AtomicLong mNextCall = new AtomicLong();
    private final AtomicInteger mCallsInProgress = new AtomicInteger();
    private final RetryBudget mRetryBudget = RetryBudget.create();
    private final Supplier<FleetBounds> mBounds;
    private final Map<String, String> mRegions;
    private final String mCallIdPrefix;
    private volatile boolean mLeaving;

    /**
     * Creates a router.
     *
     * @param identity who this process is
     * @param configuration the catalogue in force
     * @param membership which targets there are
     * @param links the way to other gates
     * @param gate the gate of this node
     * @param regions the region of each data centre
     * @param bounds what the whole fleet keeps within
     */
    public Router(
            final NodeIdentity identity,
            final ConfigurationService configuration,
            final MembershipService membership,
            final PeerLinks links,
            final Gate gate,
            final Map<String, String> regions,
            final Supplier<FleetBounds> bounds) {
        mBounds = bounds;
        mRegions = Map.copyOf(regions);
        mIdentity = identity;
        mConfiguration = configuration;
        mMembership = membership;
        mLinks = links;
        mGate = gate;
        mSelector =
                TargetSelector.of(
                        identity.dataCentre(), mLoads, new Random(identity.incarnation() + 2));
        mCallIdPrefix = identity.host() + "-" + Long.toString(identity.incarnation(), 36) + "-";
    }

    @Override
    public BodySink route(
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink) {
        final RoutedCall call = new RoutedCall(this, route, head, executor, sink);
        call.start();
        return call;
    }

    // -- choice

    Optional<TargetRef> choose(
            final Route route,
            final String service,
            final Collection<String> excluded,
            final SelectionCriteria criteria) {
        final Catalogue catalogue = mConfiguration.catalogue();
        final List<TargetRef> targets = mMembership.targets(service);
        final List<Candidate> candidates = new ArrayList<>(targets.size());
        for (final TargetRef target : targets) {
            final Candidate candidate = target.candidate();
            if (isAllowed(catalogue, route, candidate)) {
                candidates.add(candidate);
            }
        }
        final Optional<Candidate> chosen =
                mLock.get(
                        () -> {
                            final Optional<Candidate> choice =
                                    mSelector.choose(
                                            candidates, excluded, criteria, System.nanoTime());
                            choice.ifPresent(candidate -> mLoads.recordSent(candidate.host()));
                            return choice;
                        });
        return chosen.flatMap(
                candidate ->
                        targets.stream()
                                .filter(target -> target.candidate().equals(candidate))
                                .findFirst());
    }

    /** Returns whether a target is in service and in a region that the route may run in. */
    private boolean isAllowed(
            final Catalogue catalogue, final Route route, final Candidate candidate) {
        final boolean isRegionAllowed =
                route.regions().isEmpty()
                        || route.regions()
                                .contains(mRegions.getOrDefault(candidate.dataCentre(), ""));
        return isRegionAllowed && catalogue.isInService(candidate.host(), candidate.dataCentre());
    }

    /** Returns the gate of a host that holds an idempotency key, whether or not it admits work. */
    Optional<TargetRef> keyHolder(final String host) {
        final Optional<TargetRef> found =
                mMembership
                        .member(host)
                        .filter(member -> member.status() != MemberStatus.DEAD)
                        .map(
                                member ->
                                        new TargetRef(
                                                new Candidate(host, member.dataCentre(), 1),
                                                Addresses.parse(member.peerAddress())));
        found.ifPresent(target -> mLock.run(() -> mLoads.recordSent(host)));
        return found;
    }

    boolean isRemote(final TargetRef target) {
        return !target.candidate().dataCentre().equals(mIdentity.dataCentre());
    }

    CallOpener opener(final TargetRef target) {
        return target.candidate().host().equals(mIdentity.host())
                ? mGate
                : mLinks.openerTo(target.peerAddress());
    }

    String nextCallId() {
        return mCallIdPrefix + Long.toString(mNextCall.incrementAndGet(), 36);
    }

    // -- calls in progress

    /** The node leaves: calls in progress are seen through where they are. */
    public void leave() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    void callStarted(final String service) {
        mCallsInProgress.incrementAndGet();
        mLock.run(() -> mRetryBudget.recordCall(service, mBounds.get(), System.nanoTime()));
    }

    /** Returns how long calls of a route usually take at a target, in milliseconds. */
    long meanServiceMillis(final Route route, final String service) {
        final List<Candidate> candidates =
                mMembership.targets(service).stream().map(TargetRef::candidate).toList();
        return Math.round(
                mLock.get(() -> mLoads.meanServiceMicros(candidates, route.id()).orElse(0))
                        / 1_000);
    }

    /** Returns whether another target of a service admits calls. */
    boolean hasOtherTarget(
            final Route route, final String service, final Collection<String> excluded) {
        final Catalogue catalogue = mConfiguration.catalogue();
        return mMembership.targets(service).stream()
                .map(TargetRef::candidate)
                .anyMatch(
                        candidate ->
                                !excluded.contains(candidate.host())
                                        && isAllowed(catalogue, route, candidate));
    }

    /** Returns whether a call may be sent to a further target of its service. */
    boolean tryAcquireRetry(final String service) {
        final int ingressCount = mMembership.presentCount();
        return mLock.get(
                () ->
                        mRetryBudget.tryAcquire(
                                service, mBounds.get(), ingressCount, System.nanoTime()));
    }

    void callEnded() {
        mCallsInProgress.decrementAndGet();
    }

    /**
     * Returns how many calls of callers are in progress.
     *
     * @return a count
     */
    public int callsInProgress() {
        return mCallsInProgress.get();
    }

    // -- feedback

    void recordLoad(final TargetRef target, final int route, final TargetLoad load) {
        mLock.run(
                () -> mLoads.recordLoad(target.candidate().host(), route, load, System.nanoTime()));
    }

    void recordCompletion(final TargetRef target) {
        mLock.run(() -> mLoads.recordCompletion(target.candidate().host()));
    }

    /** A gate did not answer: it gets no call for a moment. */
    void markSilent(final TargetRef target, final int route) {
        recordLoad(target, route, TargetLoad.ABSENT);
    }

    // -- doubt

    /** Asks a gate what became of a call; the call can no longer start there afterwards. */
    void resolveOutcome(
            final TargetRef target,
            final String callId,
            final Consumer<Optional<CallPhase>> consumer) {
        if (target.candidate().host().equals(mIdentity.host())) {
            consumer.accept(Optional.of(mGate.resolveOutcome(callId)));
            return;
        }
        mLinks.request(
                target.peerAddress(),
                id -> new PeerMessage.OutcomeQuery(id, callId),
                OUTCOME_TIMEOUT_MILLIS,
                reply ->
                        consumer.accept(
                                reply.flatMap(
                                        answer ->
                                                answer instanceof PeerMessage.OutcomeReply outcome
                                                        ? Optional.of(outcome.phase())
                                                        : Optional.empty())));
    }
}
