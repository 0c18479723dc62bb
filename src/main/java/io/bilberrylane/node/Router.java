package io.bilberrylane.node;

import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.CallRouter;
import io.bilberrylane.http.CallerPermit;
import io.bilberrylane.http.HeaderNames;
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
import io.bilberrylane.policy.Distances;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.policy.LoadTable;
import io.bilberrylane.policy.LocalRuns;
import io.bilberrylane.policy.ReplyTimes;
import io.bilberrylane.policy.RetryBudget;
import io.bilberrylane.policy.SelectionCriteria;
import io.bilberrylane.policy.TargetLoad;
import io.bilberrylane.policy.TargetSelector;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Selects targets for the calls of one ingress and opens the calls at their gates. */
public final class Router implements CallRouter, CallEnvironment {
    private static final long OUTCOME_TIMEOUT_MILLIS = 1_000;

    /**
     * A gate is silent if it sends nothing for at least this long after the queue timeout of a
     * call.
     */
    private static final long MIN_SILENCE_TIMEOUT_MILLIS = 90;

    private static final long MAX_SILENCE_TIMEOUT_MILLIS = 400;

    private final NodeIdentity mIdentity;
    private final ConfigurationService mConfiguration;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final Gate mGate;
    private final RolloutService mRollouts;
    private final RankedLock mLock = RankedLock.of(LockRank.ROUTING);
    private final LoadTable mLoads = LoadTable.empty();
    private final ReplyTimes mReplyTimes =
            ReplyTimes.of(MIN_SILENCE_TIMEOUT_MILLIS, MAX_SILENCE_TIMEOUT_MILLIS);
    private final Distances mDistances = Distances.unknown();
    private final PeerDataCentres mPeerDataCentres = new PeerDataCentres();
    private final IngressOverload mOverload;
    private final TargetSelector mSelector;
    private final AtomicLong mNextCall = new AtomicLong();
    private final Set<RoutedCall> mCallsInProgress = ConcurrentHashMap.newKeySet();
    private final RetryBudget mRetryBudget = RetryBudget.create();
    private final Supplier<FleetBounds> mBounds;
    private final Map<String, String> mRegions;
    private final String mCallIdPrefix;
    private final QuotaService mQuotas;

    /**
     * Creates a router.
     *
     * @param identity the identity of this process
     * @param configuration provides the active catalogue
     * @param membership provides the known targets
     * @param links the links to other nodes
     * @param gate the gate of this node
     * @param quotas the limits of organisations
     * @param rollouts decides which versions of a service get calls
     * @param regions the region of each data centre
     * @param bounds provides the limits that the fleet as a whole observes
     */
    Router(
            final NodeIdentity identity,
            final ConfigurationService configuration,
            final MembershipService membership,
            final PeerLinks links,
            final Gate gate,
            final QuotaService quotas,
            final RolloutService rollouts,
            final Map<String, String> regions,
            final Supplier<FleetBounds> bounds) {
        mBounds = bounds;
        mRegions = Map.copyOf(regions);
        mIdentity = identity;
        mConfiguration = configuration;
        mMembership = membership;
        mLinks = links;
        mGate = gate;
        mQuotas = quotas;
        mRollouts = rollouts;
        mSelector =
                TargetSelector.of(
                        identity.dataCentre(),
                        mLoads,
                        mDistances,
                        new Random(identity.incarnation() + 2));
        mOverload =
                new IngressOverload(
                        configuration::catalogue, new Random(identity.incarnation() + 3));
        links.setRoundTripListener(
                () -> configuration.catalogue().ordersAnyByCost(), this::recordRoundTrip);
        gate.setRepeatBudget(this::isRepeatBudgetSpent);
        mCallIdPrefix = identity.host() + "-" + Long.toString(identity.incarnation(), 36) + "-";
    }

    @Override
    public BodySink route(
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink) {
        return start(Optional.empty(), route, head, executor, sink);
    }

    @Override
    public BodySink route(
            final CallerPermit permit,
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink) {
        return start(Optional.of(permit), route, head, executor, sink);
    }

    private BodySink start(
            final Optional<CallerPermit> permit,
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink) {
        final OverloadDecision overload =
                mOverload.begin(route, head, () -> meanServiceMillis(route, head.service()));
        final RoutedCall call =
                new RoutedCall(this, permit, route, overload.head(), executor, sink, overload);
        call.start();
        return call;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public LocalRuns localRuns() {
        return mGate.calls().localRuns();
    }

    @Override
    public Catalogue catalogue() {
        return mConfiguration.catalogue();
    }

    @Override
    public HeaderNames headerNames() {
        return mGate.headerNames();
    }

    // -- target selection

    @Override
    public Optional<TargetRef> choose(
            final Route route,
            final String service,
            final Collection<String> excluded,
            final boolean isFirstOffer,
            final SelectionCriteria criteria) {
        final Catalogue catalogue = mConfiguration.catalogue();
        final List<TargetRef> targets = new ArrayList<>();
        for (final TargetRef target : mMembership.targets(service)) {
            if (isAllowed(catalogue, route, target.candidate())) {
                targets.add(target);
            }
        }
        final RolloutChoice choice = mRollouts.choose(service, targets, route.id(), isFirstOffer);
        final Optional<TargetRef> preferred = choose(choice.preferred(), excluded, criteria);
        return preferred.isPresent() || choice.others().isEmpty()
                ? preferred
                : choose(choice.others(), excluded, criteria);
    }

    private Optional<TargetRef> choose(
            final List<TargetRef> targets,
            final Collection<String> excluded,
            final SelectionCriteria criteria) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        final List<Candidate> candidates = candidates(targets);
        final Optional<Candidate> chosen =
                mLock.get(
                        () -> {
                            final Optional<Candidate> choice =
                                    mSelector.choose(
                                            candidates, excluded, criteria, System.nanoTime());
                            choice.ifPresent(candidate -> mLoads.recordSent(candidate.host()));
                            return choice;
                        });
        if (chosen.isPresent()) {
            for (final TargetRef target : targets) {
                if (target.candidate().host().equals(chosen.get().host())) {
                    return Optional.of(target);
                }
            }
        }
        return Optional.empty();
    }

    private static List<Candidate> candidates(final List<TargetRef> targets) {
        final List<Candidate> candidates = new ArrayList<>(targets.size());
        for (final TargetRef target : targets) {
            candidates.add(target.candidate());
        }
        return candidates;
    }

    /** Returns whether a target is in service and in a region that the route allows. */
    private boolean isAllowed(
            final Catalogue catalogue, final Route route, final Candidate candidate) {
        final boolean isRegionAllowed =
                route.regions().isEmpty()
                        || route.regions()
                                .contains(mRegions.getOrDefault(candidate.dataCentre(), ""));
        return isRegionAllowed && catalogue.isInService(candidate.host(), candidate.dataCentre());
    }

    @Override
    public Optional<TargetRef> keyHolder(final String host) {
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

    @Override
    public long silenceTimeoutMillis() {
        return mLock.get(mReplyTimes::timeoutMillis);
    }

    @Override
    public void recordReply(final long elapsedMillis) {
        mLock.run(() -> mReplyTimes.recordReply(elapsedMillis));
    }

    @Override
    public void recordSilence() {
        mLock.run(mReplyTimes::recordTimeout);
    }

    @Override
    public boolean isRemote(final TargetRef target) {
        return !target.candidate().dataCentre().equals(mIdentity.dataCentre());
    }

    @Override
    public CallOpener opener(final TargetRef target) {
        if (target.candidate().host().equals(mIdentity.host())) {
            return mGate::openLocal;
        }
        if (isRemote(target)) {
            mPeerDataCentres.recordPeer(target);
        }
        return mLinks.openerTo(target.peerAddress());
    }

    /** Returns the control of overload, whose metrics the node registers. */
    IngressOverload overload() {
        return mOverload;
    }

    @Override
    public CallQuota quota(final CallHead head) {
        return new CallQuota(mQuotas, head);
    }

    @Override
    public String nextCallId() {
        return mCallIdPrefix + Long.toString(mNextCall.incrementAndGet(), 36);
    }

    // -- calls in progress

    @Override
    public void callStarted(final RoutedCall call, final String service) {
        mCallsInProgress.add(call);
        final double repeatProbability = mGate.calls().repeatProbability();
        mLock.run(
                () ->
                        mRetryBudget.recordCall(
                                service, mBounds.get(), repeatProbability, System.nanoTime()));
    }

    @Override
    public long meanServiceMillis(final Route route, final String service) {
        final List<Candidate> candidates = candidates(mMembership.targets(service));
        return Math.round(
                mLock.get(() -> mLoads.meanServiceMicros(candidates, route.id()).orElse(0))
                        / 1_000);
    }

    @Override
    public boolean hasOtherTarget(
            final Route route, final String service, final Collection<String> excluded) {
        final Catalogue catalogue = mConfiguration.catalogue();
        return mMembership.targets(service).stream()
                .map(TargetRef::candidate)
                .anyMatch(
                        candidate ->
                                !excluded.contains(candidate.host())
                                        && isAllowed(catalogue, route, candidate));
    }

    @Override
    public boolean tryAcquireRetry(final String service) {
        final int ingressCount = mMembership.presentCount();
        return mLock.get(
                () ->
                        mRetryBudget.tryAcquire(
                                service, mBounds.get(), ingressCount, System.nanoTime()));
    }

    private boolean isRepeatBudgetSpent() {
        final int ingressCount = mMembership.presentCount();
        return mLock.get(
                () ->
                        mRetryBudget.isSpentByRepeatedRuns(
                                mBounds.get(), ingressCount, System.nanoTime()));
    }

    @Override
    public void callEnded(final RoutedCall call, final int offers) {
        mCallsInProgress.remove(call);
        mOverload.recordEnd(offers);
    }

    /**
     * Returns the number of calls from callers in progress.
     *
     * @return the number of calls
     */
    public int callsInProgress() {
        return mCallsInProgress.size();
    }

    /** Ends all calls in progress with a failure or a refusal, because the node ends. */
    void endCalls() {
        mCallsInProgress.forEach(RoutedCall::endWithNode);
    }

    // -- load feedback

    @Override
    public void recordLoad(
            final TargetRef target, final String service, final int route, final TargetLoad load) {
        mOverload.recordLoad(service, target.candidate(), load);
        mLock.run(
                () -> mLoads.recordLoad(target.candidate().host(), route, load, System.nanoTime()));
    }

    @Override
    public void recordCompletion(final TargetRef target) {
        mLock.run(() -> mLoads.recordCompletion(target.candidate().host()));
    }

    private void recordRoundTrip(final InetSocketAddress address, final long nanos) {
        mPeerDataCentres
                .dataCentreOf(address)
                .ifPresent(
                        dataCentre ->
                                mLock.run(
                                        () ->
                                                mDistances.recordRoundTrip(
                                                        dataCentre, nanos / 1_000.0)));
    }

    // -- unknown outcomes

    @Override
    public void resolveOutcome(
            final TargetRef target,
            final String callId,
            final long gateIncarnation,
            final Consumer<Optional<CallPhase>> consumer) {
        if (target.candidate().host().equals(mIdentity.host())) {
            consumer.accept(Optional.of(mGate.resolveOutcome(callId, mIdentity.incarnation())));
            return;
        }
        mLinks.request(
                target.peerAddress(),
                id -> new PeerMessage.OutcomeQuery(id, callId, gateIncarnation),
                OUTCOME_TIMEOUT_MILLIS,
                reply ->
                        consumer.accept(
                                reply.flatMap(
                                        message ->
                                                message instanceof PeerMessage.OutcomeReply outcome
                                                        ? Optional.of(outcome.phase())
                                                        : Optional.empty())));
    }
}
