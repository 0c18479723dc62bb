package io.bilberrylane.node;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RunRule;
import io.bilberrylane.catalogue.WeightedService;
import io.bilberrylane.http.CallerPermit;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.policy.Candidate;
import io.bilberrylane.policy.LocalRuns;
import io.bilberrylane.policy.QuotaAnswer;
import io.bilberrylane.policy.SelectionCriteria;
import io.bilberrylane.policy.TargetLoad;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The surroundings of one real call at an ingress: gates, limits and the clock are the test's, and
 * time passes only when the test says so.
 */
final class VirtualIngress implements CallEnvironment, TokenSource, AutoCloseable {
    static final String SERVICE = "calendar";
    static final String ORGANISATION = "north";
    static final long TIMEOUT_MILLIS = 2_000;
    static final long OBJECTIVE_MILLIS = 1_000;
    static final long SILENCE_MILLIS = 90;

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<String> mHosts = new ArrayList<>();
    private final List<OfferedCall> mOffers = new ArrayList<>();
    private final Deque<Consumer<QuotaAnswer>> mReservations = new ArrayDeque<>();
    private final Deque<OutcomeQuestion> mOutcomeQuestions = new ArrayDeque<>();
    private final long mTokenMillis;
    private Catalogue mCatalogue = Catalogue.empty();
    private boolean mChoosable = true;
    private boolean mRetriesLeft = true;
    private int mRetriesGranted;
    private long mNowNanos = 1;
    private int mTokensGranted;
    private int mTokensReturned;
    private int mCompletions;
    private int mCallsEnded;

    /** A query of the outcome of a call that waits for its answer. */
    record OutcomeQuestion(String callId, Consumer<Optional<CallPhase>> consumer) {}

    private VirtualIngress(final int hosts, final long tokenMillis) {
        mChannel.freezeTime();
        mTokenMillis = tokenMillis;
        for (int i = 0; i < hosts; i++) {
            mHosts.add("host-" + i);
        }
    }

    /**
     * Returns an ingress.
     *
     * @param hosts the number of gates with a target of the service
     * @param tokenMillis how long a token of the organisation's limit lasts, in milliseconds; 0 if
     *     the organisation has no limit
     */
    static VirtualIngress of(final int hosts, final long tokenMillis) {
        return new VirtualIngress(hosts, tokenMillis);
    }

    // -- the call

    /** Starts a call. */
    RoutedCall start(
            final boolean idempotent,
            final String idempotencyKey,
            final boolean hasBody,
            final int attempts,
            final Optional<CallerPermit> permit,
            final RecordedResponse response) {
        final Route route =
                new Route(
                        "calendar.example",
                        "/",
                        List.of(new WeightedService(SERVICE, 1)),
                        RunRule.BY_METHOD,
                        TIMEOUT_MILLIS,
                        OBJECTIVE_MILLIS,
                        attempts,
                        0,
                        Set.of(),
                        false,
                        false);
        final CallHead head =
                new CallHead(
                        "call",
                        SERVICE,
                        idempotent ? "GET" : "POST",
                        "/slots",
                        List.of(),
                        TIMEOUT_MILLIS,
                        1,
                        idempotent,
                        idempotencyKey,
                        hasBody ? -1 : 0,
                        "request",
                        0,
                        OBJECTIVE_MILLIS,
                        route.id(),
                        0,
                        false,
                        mTokenMillis > 0 ? ORGANISATION : "",
                        false);
        final RoutedCall call =
                new RoutedCall(
                        this,
                        permit,
                        route,
                        head,
                        executor(),
                        response,
                        OverloadDecision.undecided(route, head));
        call.start();
        return call;
    }

    // -- control by the test

    EventExecutor executor() {
        return mChannel.eventLoop();
    }

    void passMillis(final long millis) {
        for (long i = 0; i < millis; i++) {
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(1);
            mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            runPendingTasks();
        }
    }

    void runPendingTasks() {
        mChannel.runPendingTasks();
    }

    /** Puts another version of the configuration in force. */
    void setCatalogue(final Catalogue catalogue) {
        mCatalogue = catalogue;
    }

    /** Sets whether gates can be chosen for offers; their targets are known either way. */
    void setChoosable(final boolean choosable) {
        mChoosable = choosable;
    }

    /** Sets whether the budget grants retries. */
    void setRetriesLeft(final boolean retriesLeft) {
        mRetriesLeft = retriesLeft;
    }

    int retriesGranted() {
        return mRetriesGranted;
    }

    String host(final int number) {
        return mHosts.get(number);
    }

    List<OfferedCall> offers() {
        return mOffers;
    }

    OfferedCall lastOffer() {
        return mOffers.get(mOffers.size() - 1);
    }

    boolean hasReservation() {
        return !mReservations.isEmpty();
    }

    void answerReservation(final boolean granted) {
        mTokensGranted += granted ? 1 : 0;
        final long expiryNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(mTokenMillis);
        mReservations.removeFirst().accept(new QuotaAnswer(0, granted, expiryNanos, 0, ""));
    }

    boolean hasOutcomeQuestion() {
        return !mOutcomeQuestions.isEmpty();
    }

    OutcomeQuestion takeOutcomeQuestion() {
        return mOutcomeQuestions.removeFirst();
    }

    int tokensOut() {
        return mTokensGranted - mTokensReturned;
    }

    int completions() {
        return mCompletions;
    }

    int callsEnded() {
        return mCallsEnded;
    }

    @Override
    public void close() {
        mChannel.close();
    }

    // -- CallEnvironment

    @Override
    public long nanoTime() {
        return mNowNanos;
    }

    @Override
    public Catalogue catalogue() {
        return mCatalogue;
    }

    @Override
    public HeaderNames headerNames() {
        return HeaderNames.OWN;
    }

    @Override
    public LocalRuns localRuns() {
        return LocalRuns.NONE;
    }

    @Override
    public CallQuota quota(final CallHead head) {
        return new CallQuota(this, head);
    }

    @Override
    public Optional<TargetRef> choose(
            final Route route,
            final String service,
            final Collection<String> excluded,
            final boolean isFirstOffer,
            final SelectionCriteria criteria) {
        return mHosts.stream()
                .filter(host -> mChoosable && !excluded.contains(host))
                .map(VirtualIngress::target)
                .findFirst();
    }

    private static TargetRef target(final String host) {
        return new TargetRef(
                new Candidate(host, "dc-0", 6), InetSocketAddress.createUnresolved(host, 1));
    }

    @Override
    public Optional<TargetRef> keyHolder(final String host) {
        return Optional.of(target(host));
    }

    @Override
    public boolean hasOtherTarget(
            final Route route, final String service, final Collection<String> excluded) {
        return !excluded.containsAll(mHosts);
    }

    @Override
    public boolean isRemote(final TargetRef target) {
        return false;
    }

    @Override
    public CallOpener opener(final TargetRef target) {
        return (head, sink) -> {
            final OfferedCall offer =
                    new OfferedCall(mOffers.size(), target.candidate().host(), head, sink);
            mOffers.add(offer);
            return offer;
        };
    }

    @Override
    public String nextCallId() {
        return "call-" + mOffers.size();
    }

    @Override
    public void callStarted(final RoutedCall call, final String service) {
        // The test has the call.
    }

    @Override
    public void callEnded(final RoutedCall call, final int offers) {
        mCallsEnded++;
    }

    @Override
    public boolean tryAcquireRetry(final String service) {
        mRetriesGranted += mRetriesLeft ? 1 : 0;
        return mRetriesLeft;
    }

    @Override
    public long meanServiceMillis(final Route route, final String service) {
        return 0;
    }

    @Override
    public long silenceTimeoutMillis() {
        return SILENCE_MILLIS;
    }

    @Override
    public void recordReply(final long elapsedMillis) {
        // The time after which a gate is silent is fixed.
    }

    @Override
    public void recordSilence() {
        // The time after which a gate is silent is fixed.
    }

    @Override
    public void recordLoad(
            final TargetRef target, final String service, final int route, final TargetLoad load) {
        // Gates are chosen in the order of their hosts.
    }

    @Override
    public void recordCompletion(final TargetRef target) {
        mCompletions++;
    }

    @Override
    public void resolveOutcome(
            final TargetRef target,
            final String callId,
            final long gateIncarnation,
            final Consumer<Optional<CallPhase>> consumer) {
        mOutcomeQuestions.add(new OutcomeQuestion(callId, consumer));
    }

    // -- TokenSource

    @Override
    public boolean isLimited(final String organisation) {
        return mTokenMillis > 0;
    }

    @Override
    public long remainingNanos(final long expiryNanos) {
        return expiryNanos - mNowNanos;
    }

    @Override
    public void reserve(
            final String organisation,
            final EventExecutor executor,
            final Consumer<QuotaAnswer> consumer) {
        mReservations.add(consumer);
    }

    @Override
    public void release(final String organisation, final long expiryNanos) {
        mTokensReturned++;
    }

    @Override
    public void recordSpent() {
        mTokensReturned++;
    }
}
