package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.http.HttpServer;
import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.http.LocalEndpoint;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Departure;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.peer.PeerServer;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.policy.OutageBackoff;
import io.bilberrylane.policy.QuotaGrant;
import io.bilberrylane.policy.RolloutPhase;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The daemon that runs beside a target. */
public final class Node implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 200;
    private static final long LEAVE_ANNOUNCEMENT_MILLIS = 50;

    /** Fractions of the drain time, in order; each names the step that follows at its end. */
    private static final double GATE_STOP_FRACTION = 0.2;

    private static final double CALLERS_MOVED_FRACTION = 0.4;
    private static final double REFUSE_FRACTION = 0.5;
    private static final double DRAIN_END_FRACTION = 0.95;

    /** The least time from the end of the drain to that of the process, in milliseconds. */
    private static final long MIN_CLOSE_MILLIS = 500;

    /** A request that is taken late ends by its timeout at least this long before the drain. */
    private static final long LATE_REQUEST_MARGIN_MILLIS = 100;

    /** How long a connection that has sent nothing stays open after the listener was closed. */
    private static final long LAST_REQUEST_WAIT_NANOS = 300_000_000L;

    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    private final ResourceCloser mCloser = ResourceCloser.empty();
    private volatile NodeSettings mSettings;
    private final NodeIdentity mIdentity;
    private final Transport mTransport;
    private final PlatformClient mPlatform;
    private final NodeMetrics mMetrics = new NodeMetrics();
    private volatile boolean mLeaving;
    private Gate mGate;
    private PeerLinks mLinks;
    private ConfigurationService mConfiguration;
    private MembershipService mMembership;
    private volatile CrashDetector mCrashDetector;
    private DepartureStore mDepartureStore;
    private SeedService mSeedService;
    private ConfigurationWatcher mConfigurationWatcher;
    private volatile QuotaService mQuotas;
    private volatile RolloutService mRollouts;
    private Router mRouter;
    private PeerServer mPeerServer;
    private HttpServer mCallerServer;
    private HttpServer mTargetServer;
    private HttpServer mOperatorServer;

    private Node(final NodeSettings settings) {
        mSettings = settings;
        mIdentity =
                new NodeIdentity(
                        settings.host(), settings.dataCentre(), System.currentTimeMillis());
        mTransport = mCloser.add(Transport.of(settings.workers()));
        mTransport.logImplementation();
        mPlatform = PlatformClient.of(mTransport, settings.platform(), PLATFORM_TIMEOUT_MILLIS);
    }

    /**
     * Starts a node.
     *
     * @param settings the settings of the node
     * @return the running node
     */
    public static Node start(final NodeSettings settings) {
        final Node node = new Node(settings);
        try {
            node.open();
        } catch (RuntimeException e) {
            node.close();
            throw e;
        }
        return node;
    }

    private void open() {
        final EventLoop readLoop = mTransport.group().next();
        final ObjectStore reads =
                new BackoffObjectStore(
                        readLoop, mPlatform, OutageBackoff.of(new Random(mIdentity.incarnation())));
        mLinks = mCloser.add(PeerLinks.of(mTransport, mIdentity));
        mConfiguration =
                new ConfigurationService(
                        mSettings.profile().format(),
                        mLinks,
                        this::onConfigurationVersion,
                        mSettings.rollouts().map(settings -> this::onRollouts));
        mGate =
                mCloser.add(
                        Gate.of(
                                mTransport,
                                mSettings,
                                mConfiguration::catalogue,
                                mIdentity,
                                mPlatform));
        mPeerServer =
                mCloser.add(
                        PeerServer.bind(
                                mTransport,
                                mSettings.addresses().peer(),
                                mIdentity,
                                mGate,
                                this::handlePeerRequest));
        mMembership =
                mCloser.add(MembershipService.start(mTransport, mIdentity, mPeerServer.address()));
        mMembership.setVersionListener(mConfiguration::onPeerVersion);
        mDepartureStore =
                new DepartureStore(
                        mTransport.group().next(),
                        mIdentity.host(),
                        reads,
                        mGate::departures,
                        this::restoreDepartures);
        mCloser.add(mDepartureStore::stop);
        mDepartureStore.start();
        mCrashDetector = new CrashDetector(mIdentity, mMembership, mLinks);
        mGate.setCrashDetector(mCrashDetector);
        mQuotas =
                mCloser.add(
                        QuotaService.start(
                                mTransport,
                                mIdentity,
                                mMembership,
                                mLinks,
                                mConfiguration::catalogue,
                                () -> mSettings.quotaBounds()));
        mRollouts =
                new RolloutService(
                        mIdentity,
                        mSettings,
                        mMembership,
                        mLinks,
                        mGate,
                        mConfiguration,
                        mPlatform);
        mGate.setRollouts(mRollouts);
        mCloser.add(mRollouts::stop);
        mRollouts.start(mTransport.group().next());
        mRouter =
                new Router(
                        mIdentity,
                        mConfiguration,
                        mMembership,
                        mLinks,
                        mGate,
                        mQuotas,
                        mRollouts,
                        mSettings.regions(),
                        () -> mSettings.bounds());
        openHttp();
        mSeedService =
                new SeedService(
                        mTransport, mIdentity, mPeerServer.address(), reads, mMembership, mLinks);
        mSeedService.start();
        mConfigurationWatcher =
                new ConfigurationWatcher(
                        mTransport,
                        mIdentity,
                        mPlatform,
                        reads,
                        mMembership,
                        mConfiguration,
                        mSettings.profile().format(),
                        mSeedService::seedCount,
                        mSettings.rollouts().isPresent());
        mConfigurationWatcher.start();
        mTransport
                .ticker()
                .every(
                        LEASE_CHECK_INTERVAL_MILLIS,
                        GuardedTask.of("key and lease expiry", this::expireKeysAndTarget));
        registerGauges();
        logAddresses();
    }

    private void openHttp() {
        final InterfaceProfile profile = mSettings.profile();
        final NodeAddresses addresses = mSettings.addresses();
        mCallerServer = bindServer(addresses.caller(), Optional.empty(), "");
        mTargetServer =
                bindServer(
                        addresses.target(),
                        Optional.of(
                                profile.targetEndpoint()
                                        .apply(
                                                new GateTargetRegistry(
                                                        mGate, mMembership, mDepartureStore))),
                        profile.targetPrefix());
        final OperatorEndpoint operatorEndpoint =
                new OperatorEndpoint(
                        mIdentity, mConfiguration, mMembership, mGate, mMetrics, this::isReady);
        mOperatorServer =
                mCloser.add(
                        HttpServer.bindLocal(mTransport, addresses.operator(), operatorEndpoint));
        addresses
                .readiness()
                .ifPresent(
                        address ->
                                mCloser.add(
                                        HttpServer.bindLocal(
                                                mTransport, address, operatorEndpoint)));
    }

    private HttpServer bindServer(
            final InetSocketAddress address,
            final Optional<LocalEndpoint> local,
            final String localPrefix) {
        return mCloser.add(
                HttpServer.bind(
                        mTransport,
                        address,
                        mConfiguration::catalogue,
                        mRouter,
                        local,
                        localPrefix,
                        mSettings.profile().names(),
                        mSettings.service(),
                        mMetrics));
    }

    private void registerGauges() {
        mQuotas.counters().registerAt(mMetrics);
        mRouter.overload().register(mMetrics);
        final NodeGauges gauges = new NodeGauges(mMetrics);
        gauges.registerConfiguration(mConfiguration);
        gauges.registerGate(mGate);
        gauges.registerPlatform(mPlatform.counters(), mDepartureStore);
        gauges.registerProcess(mTransport, mMembership);
    }

    private void logAddresses() {
        LOGGER.atInfo().log(
                "node %s ready: callers %s, peers %s, target %s, operators %s",
                mIdentity.host(),
                Addresses.format(mCallerServer.address()),
                Addresses.format(mPeerServer.address()),
                Addresses.format(mTargetServer.address()),
                Addresses.format(mOperatorServer.address()));
    }

    // -- events

    private void onConfigurationVersion(final ConfigurationVersion version) {
        mMembership.updateConfigurationVersion(version);
    }

    private void onRollouts(final long revision, final List<String> objects) {
        mRollouts.onOrders(revision, objects);
    }

    private void restoreDepartures(final List<Departure> departures) {
        if (mGate.restoreDepartures(departures)) {
            mMembership.announceTarget(Optional.empty());
        }
    }

    private void expireKeysAndTarget() {
        mGate.expireKeys(System.nanoTime());
        if (mGate.expireTarget(System.nanoTime())) {
            mMembership.announceTarget(Optional.empty());
        }
    }

    private PeerMessage.Reply handlePeerRequest(final PeerMessage.Request request) {
        return switch (request) {
            case PeerMessage.Probe q -> new PeerMessage.ProbeReply(q.requestId(), mGate.load());
            case PeerMessage.OutcomeQuery q ->
                    new PeerMessage.OutcomeReply(
                            q.requestId(), mGate.resolveOutcome(q.callId(), q.incarnation()));
            case PeerMessage.ConfigurationPull q -> mConfiguration.replyTo(q);
            case PeerMessage.CrashNotice q -> {
                mCrashDetector.recordCrash(q.fingerprint(), q.process());
                yield new PeerMessage.CrashAck(q.requestId());
            }
            case PeerMessage.RolloutSync q ->
                    mRollouts == null
                            ? new PeerMessage.RolloutSyncReply(q.requestId(), List.of(), List.of())
                            : mRollouts.replyTo(q);
            case PeerMessage.SyncRequest q -> {
                mMembership.merge(q.members());
                yield new PeerMessage.SyncReply(q.requestId(), mMembership.members());
            }
            case PeerMessage.QuotaRequest q -> replyToQuotaRequest(q);
        };
    }

    /** A request may arrive while the node starts, before it knows any limit. */
    private PeerMessage.Reply replyToQuotaRequest(final PeerMessage.QuotaRequest request) {
        final QuotaService quotas = mQuotas;
        return quotas == null
                ? new PeerMessage.QuotaReply(
                        request.requestId(), 0, QuotaGrant.NOT_OWNER.retryAfterNanos())
                : quotas.replyTo(request);
    }

    /** Returns whether the node serves calls. */
    boolean isReady() {
        return mConfiguration.isComplete() && !mLeaving;
    }

    /**
     * Returns the incarnation of this process.
     *
     * @return the start time of the process, in milliseconds since 1970
     */
    public long incarnation() {
        return mIdentity.incarnation();
    }

    /**
     * Returns the revision of the active configuration.
     *
     * @return the revision; 0 before the first configuration
     */
    public long revision() {
        return mConfiguration.version().catalogue();
    }

    /**
     * Returns the number of known targets of a service that accept calls.
     *
     * @param service the name of the service
     * @return the number of targets
     */
    public int targetCount(final String service) {
        return mMembership.targets(service).size();
    }

    /** Returns the phase of a service's roll-out, for tests. */
    Optional<RolloutPhase> rolloutPhase(final String service) {
        return mRollouts.phase(service);
    }

    // -- addresses

    /**
     * Returns the address to which callers connect.
     *
     * @return the IP address and port
     */
    public InetSocketAddress callerAddress() {
        return mCallerServer.address();
    }

    /**
     * Returns the address to which other nodes connect.
     *
     * @return the IP address and port
     */
    public InetSocketAddress peerAddress() {
        return mPeerServer.address();
    }

    Router router() {
        return mRouter;
    }

    QuotaCounters quotaCounters() {
        return mQuotas.counters();
    }

    OpenCounts openCounts() {
        return mGate.openCounts(
                mCallerServer.connections(), mCallerServer.exchanges(), mRouter.callsInProgress());
    }

    /**
     * Returns the address to which operators connect.
     *
     * @return the IP address and port
     */
    public InetSocketAddress operatorAddress() {
        return mOperatorServer.address();
    }

    /**
     * Returns the address to which the target sends its announcements.
     *
     * @return the IP address and port
     */
    public InetSocketAddress targetAddress() {
        return mTargetServer.address();
    }

    /**
     * Applies changed settings. Settings that are only read at the start, such as addresses, stay
     * as they are.
     *
     * @param settings the new settings
     */
    public void reload(final NodeSettings settings) {
        mSettings = settings;
        mGate.reload(settings);
        LOGGER.atInfo().log("settings reloaded: %s", settings.bounds());
    }

    // -- leaving

    /**
     * Leaves the fleet gracefully, then closes the node. Blocks until the node is closed.
     *
     * <p>Callers are moved away first: the node is no longer ready, and each response closes its
     * connection. Requests that still arrive are served during the first half of the drain time and
     * refused after that, so that all accepted requests can finish. Once callers have had the time
     * to move, only requests whose timeout ends within the drain time are taken.
     */
    public void leave() {
        LOGGER.atInfo().log("node %s is leaving", mIdentity.host());
        final long startNanos = System.nanoTime();
        mLeaving = true;
        mSeedService.stop();
        mCallerServer.leave();
        mTargetServer.leave();
        sleepUntil(startNanos, GATE_STOP_FRACTION);
        mGate.leave();
        mMembership.announceTarget(mGate.record());
        sleepUntil(startNanos, CALLERS_MOVED_FRACTION);
        final long lastEndNanos =
                startNanos
                        + TimeUnit.MILLISECONDS.toNanos(
                                millisAt(DRAIN_END_FRACTION) - LATE_REQUEST_MARGIN_MILLIS);
        mCallerServer.takeOnlyUntil(lastEndNanos);
        mTargetServer.takeOnlyUntil(lastEndNanos);
        awaitIdle(startNanos, REFUSE_FRACTION);
        mCallerServer.refuseNewRequests();
        mTargetServer.refuseNewRequests();
        awaitIdle(startNanos, DRAIN_END_FRACTION);
        if (isBusy()) {
            LOGGER.atWarning().log(
                    "drain exceeded %3$d ms: ending %1$d calls of callers and %2$d at the target",
                    mRouter.callsInProgress(), mGate.load().inFlight(), mSettings.drainMillis());
            mRouter.endCalls();
        }
        mConfigurationWatcher.stop();
        mMembership.announceLeave();
        mCallerServer.closeIdle();
        mTargetServer.closeIdle();
        sleep(LEAVE_ANNOUNCEMENT_MILLIS);
        awaitConnectionsClosed();
        close();
    }

    private void sleepUntil(final long startNanos, final double fraction) {
        sleep(remainingMillis(startNanos, fraction));
    }

    private void awaitIdle(final long startNanos, final double fraction) {
        while (isBusy() && remainingMillis(startNanos, fraction) > 0) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
    }

    /** Waits until the connections that have not sent a request yet were refused or closed. */
    private void awaitConnectionsClosed() {
        final long startNanos = System.nanoTime();
        while (mCallerServer.connections() + mTargetServer.connections() > 0
                && System.nanoTime() - startNanos < LAST_REQUEST_WAIT_NANOS) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
    }

    private long remainingMillis(final long startNanos, final double fraction) {
        final long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return Math.max(0, millisAt(fraction) - elapsedMillis);
    }

    /** Returns when a step of the drain ends, in milliseconds after its start. */
    private long millisAt(final double fraction) {
        final long drainMillis = mSettings.drainMillis();
        return Math.max(
                0, Math.min(Math.round(drainMillis * fraction), drainMillis - MIN_CLOSE_MILLIS));
    }

    private boolean isBusy() {
        return mGate.load().inFlight() > 0
                || mRouter.callsInProgress() > 0
                || mCallerServer.exchanges() + mTargetServer.exchanges() > 0;
    }

    private static void sleep(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mCloser.close();
    }
}
