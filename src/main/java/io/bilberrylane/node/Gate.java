package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Limits;
import io.bilberrylane.catalogue.ServiceEntry;
import io.bilberrylane.catalogue.TargetParameters;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.LoadHeader;
import io.bilberrylane.http.TargetConnectionPool;
import io.bilberrylane.http.TargetPoolSettings;
import io.bilberrylane.http.TargetPoolState;
import io.bilberrylane.membership.Departure;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetHistory;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.net.Transport;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.ResponseJoiner;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.policy.AdmissionDecision;
import io.bilberrylane.policy.AdmissionRequest;
import io.bilberrylane.policy.GateAdmission;
import io.bilberrylane.policy.TargetLoad;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Admits calls to the target beside this node. Every call to the target passes through its gate,
 * which makes the final decision on whether the call runs.
 */
public final class Gate implements CallOpener, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int SPARE_CONNECTIONS = 2;
    private static final int WARM_CONNECTIONS = 1;

    private final Transport mTransport;
    private volatile NodeSettings mSettings;
    private final Supplier<Catalogue> mCatalogue;
    private final RankedLock mAdmissionLock = RankedLock.of(LockRank.ADMISSION);
    private final CallRegistry mCalls;
    private final GateQueue mQueue;
    private final KeyCoordinator mKeyCoordinator;
    private volatile GateTarget mTarget;
    private final TargetFailures mFailures;
    private volatile BooleanSupplier mRepeatBudgetSpent = () -> false;
    private volatile RolloutService mRollouts;
    private volatile boolean mLeaving;
    private volatile long mLeaseEndNanos;
    private final TargetHistory mTargetHistory = TargetHistory.empty();
    private final List<GateTarget> mRetired = new ArrayList<>();

    private Gate(
            final Transport transport,
            final NodeSettings settings,
            final Supplier<Catalogue> catalogue,
            final NodeIdentity identity,
            final KeyCoordinator keyCoordinator) {
        mCalls = new CallRegistry(identity.incarnation());
        mKeyCoordinator = keyCoordinator;
        mTransport = transport;
        mSettings = settings;
        mCatalogue = catalogue;
        mFailures = new TargetFailures(transport, () -> mSettings, mAdmissionLock);
        mQueue = new GateQueue(transport, mAdmissionLock, this::targetParameters);
    }

    /**
     * Returns a gate that has no target yet.
     *
     * @param transport the event loops and channel types
     * @param settings the node's settings
     * @param catalogue supplies the active catalogue
     * @param identity the identity of this process
     * @param store the object store that holds the claims for idempotency keys
     * @return the gate
     */
    public static Gate of(
            final Transport transport,
            final NodeSettings settings,
            final Supplier<Catalogue> catalogue,
            final NodeIdentity identity,
            final ObjectStore store) {
        return new Gate(
                transport,
                settings,
                catalogue,
                identity,
                new KeyCoordinator(new ClaimStore(identity, store)));
    }

    // -- target

    /**
     * Applies an announcement of the target. A new process gets a new, cold admission state.
     *
     * @param announcement the announcement
     * @param address the target's address
     * @return whether the change must be announced to other nodes
     */
    public synchronized boolean announce(
            final TargetAnnouncement announcement, final InetSocketAddress address) {
        final GateTarget current = mTarget;
        final long nowMillis = monotonicMillis();
        if (mTargetHistory.isObsolete(announcement, nowMillis)) {
            LOGGER.atInfo().log(
                    "announcement of target %s ignored: it is older than a known one, or the"
                            + " target has left",
                    announcement.id());
            return false;
        }
        mTargetHistory.recordAnnouncement(announcement, nowMillis);
        mLeaseEndNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(announcement.leaseMillis());
        if (current != null && announcement.isRenewalOf(current.announcement())) {
            return renew(current, announcement);
        }
        final GateAdmission admission =
                GateAdmission.of(
                        announcement.slots(),
                        announcement.coldSlots(),
                        announcement.warmUpRequests());
        admission.setColdMillis(announcement.coldMillis(), System.nanoTime());
        final TargetConnectionPool pool =
                TargetConnectionPool.of(
                        mTransport,
                        new TargetPoolSettings(
                                address, connectionLimit(announcement), WARM_CONNECTIONS));
        if (announcement.draining() || mLeaving) {
            admission.stop();
        }
        final TargetProber prober =
                new TargetProber(this, mTransport, announcement.id(), admission, pool);
        mTarget = new GateTarget(announcement, admission, pool, prober, false);
        LOGGER.atInfo().log(
                "target announced: service %s at %s with %d slots",
                announcement.service(), address, announcement.slots());
        if (current != null) {
            retire(current);
            mFailures.onTargetGone(current);
        }
        return true;
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private int connectionLimit(final TargetAnnouncement announcement) {
        final int upperBound = announcement.slots() + SPARE_CONNECTIONS;
        final int configured =
                announcement.connections() > 0
                        ? announcement.connections()
                        : targetParameters(announcement.service()).connections();
        return configured > 0 ? Math.min(configured, upperBound) : upperBound;
    }

    private TargetParameters targetParameters(final String service) {
        return mCatalogue
                .get()
                .service(service)
                .map(ServiceEntry::targetParameters)
                .orElse(TargetParameters.DEFAULT);
    }

    private boolean renew(final GateTarget current, final TargetAnnouncement announcement) {
        final boolean changed = announcement.draining() != current.announcement().draining();
        mAdmissionLock.run(
                () ->
                        current.admission()
                                .setColdMillis(announcement.coldMillis(), System.nanoTime()));
        if (announcement.cold() && !current.announcement().cold()) {
            mAdmissionLock.run(current.admission()::resetToCold);
        }
        mTarget =
                new GateTarget(
                        announcement,
                        current.admission(),
                        current.pool(),
                        current.prober(),
                        current.isLeaving());
        if (changed && announcement.draining()) {
            stopAdmission(current);
        } else if (changed && !mLeaving && !current.isLeaving()) {
            mAdmissionLock.run(current.admission()::resume);
        }
        return changed;
    }

    /**
     * Removes the target if it did not renew its announcement within the lease.
     *
     * @param nowNanos the monotonic clock, in nanoseconds
     * @return whether the target was removed
     */
    public synchronized boolean expireTarget(final long nowNanos) {
        final GateTarget target = mTarget;
        if (target == null || nowNanos - mLeaseEndNanos < 0) {
            return false;
        }
        LOGGER.atWarning().log(
                "target %s did not renew its announcement in %d ms",
                target.announcement().id(), target.announcement().leaseMillis());
        final boolean withdrawn = withdrawTarget();
        mFailures.onTargetGone(target);
        return withdrawn;
    }

    /**
     * Marks the target as leaving: it admits no new calls, and later announcements of the same
     * process are ignored.
     *
     * @param id the target's identity
     * @param incarnation the process that leaves; empty if it is not named
     * @return whether the change must be announced to other nodes
     */
    public synchronized boolean markTargetLeaving(final String id, final OptionalLong incarnation) {
        mTargetHistory.recordDeparture(
                id, incarnation, System.currentTimeMillis(), monotonicMillis());
        final GateTarget target = mTarget;
        if (target == null
                || !target.announcement().id().equals(id)
                || target.announcement().incarnation()
                        > incarnation.orElse(target.announcement().incarnation())) {
            return false;
        }
        LOGGER.atInfo().log("target %s is leaving", id);
        mTarget = target.asLeaving();
        stopAdmission(target);
        return true;
    }

    /**
     * Removes the target at its own request. Announcements that its process sent before are
     * ignored.
     *
     * @return whether there was a target
     */
    public synchronized boolean departTarget() {
        final GateTarget target = mTarget;
        if (target != null) {
            mTargetHistory.recordDeparture(
                    target.announcement().id(),
                    OptionalLong.of(target.announcement().incarnation()),
                    System.currentTimeMillis(),
                    monotonicMillis());
        }
        return withdrawTarget();
    }

    /**
     * Returns the departures that must outlive this process.
     *
     * @return the departures, the oldest first
     */
    synchronized List<Departure> departures() {
        return mTargetHistory.lastingDepartures();
    }

    /**
     * Applies the departures that an earlier process on this host has recorded.
     *
     * @return whether the target was removed, because a late announcement had registered it
     */
    synchronized boolean restoreDepartures(final List<Departure> departures) {
        LOGGER.atInfo().log("departures known from an earlier process: %s", departures);
        mTargetHistory.restore(departures, monotonicMillis());
        final GateTarget target = mTarget;
        return target != null
                && mTargetHistory.hasLeft(target.announcement(), monotonicMillis())
                && withdrawTarget();
    }

    /**
     * Removes the target immediately.
     *
     * @return whether there was a target
     */
    public synchronized boolean withdrawTarget() {
        final GateTarget target = mTarget;
        if (target == null) {
            return false;
        }
        mTarget = null;
        LOGGER.atInfo().log("target of service %s removed", target.announcement().service());
        retire(target);
        return true;
    }

    private void retire(final GateTarget target) {
        stopAdmission(target);
        target.pool().close();
        mRetired.removeIf(earlier -> !isBusy(earlier));
        mRetired.add(target);
    }

    /** Stops the admission of calls to a target that requests no new work. */
    private void stopAdmission(final GateTarget target) {
        mAdmissionLock.run(() -> target.admission().limitStarts(System.nanoTime()));
        mQueue.refuseWaiting(target);
    }

    /**
     * Returns the target's record, as announced to other nodes.
     *
     * @return the record; empty if there is no target
     */
    public Optional<TargetRecord> record() {
        final GateTarget target = mTarget;
        if (target == null) {
            return Optional.empty();
        }
        final TargetAnnouncement announcement = target.announcement();
        return Optional.of(
                new TargetRecord(
                        announcement.service(),
                        announcement.incarnation(),
                        announcement.slots(),
                        !announcement.draining() && !target.isLeaving() && !mLeaving,
                        announcement.version()));
    }

    /**
     * Returns the load of the target.
     *
     * @return the load; {@link TargetLoad#ABSENT} if there is no target
     */
    public TargetLoad load() {
        final GateTarget target = mTarget;
        return target == null ? TargetLoad.ABSENT : mAdmissionLock.get(target.admission()::load);
    }

    /**
     * Returns the load of the target with the expected service time of one route's calls.
     *
     * @param route the route's ID
     * @return the load; {@link TargetLoad#ABSENT} if there is no target
     */
    TargetLoad load(final int route) {
        final GateTarget target = mTarget;
        return target == null
                ? TargetLoad.ABSENT
                : mAdmissionLock.get(() -> target.admission().load(route));
    }

    /**
     * Returns the numbers of the pool of connections to the target.
     *
     * @return the numbers; {@link TargetPoolState#NONE} if there is no target
     */
    TargetPoolState connections() {
        final GateTarget target = mTarget;
        return target == null ? TargetPoolState.NONE : target.pool().state();
    }

    /** Returns what the gate counts, with the numbers that its node counts at the ingress. */
    OpenCounts openCounts(final int callerConnections, final int exchanges, final int routedCalls) {
        final TargetLoad load = load();
        final TargetPoolState connections = connections();
        return new OpenCounts(
                callerConnections,
                exchanges,
                routedCalls,
                mQueue.size(),
                load.queued(),
                load.inFlight(),
                mCalls.runningCount(),
                mCalls.unfinishedCount(),
                connections.counted() - connections.idle());
    }

    // -- calls

    @Override
    public BodySink open(final CallHead head, final ResponseSink sink) {
        final GateCall call = new GateCall(this, mTransport.currentOrAnyLoop(), head, sink);
        call.start();
        return call;
    }

    /** Opens a call whose ingress is this node; joins its response as a link does. */
    BodySink openLocal(final CallHead head, final ResponseSink sink) {
        return open(head, new ResponseJoiner(mTransport.currentOrAnyLoop(), sink));
    }

    /**
     * Returns the phase of a call. A call that has not started can no longer start afterwards.
     *
     * @param callId the call's ID
     * @param incarnation the incarnation of the process to which the call was sent
     * @return the phase; STARTED, which promises nothing, if the call was sent to an earlier
     *     process or one that is not known, and this one has not seen it
     */
    public CallPhase resolveOutcome(final String callId, final long incarnation) {
        return mCalls.resolve(callId, incarnation);
    }

    /** Returns the notifier of failures of the target. */
    TargetFailures failures() {
        return mFailures;
    }

    /** Returns the calls that the gate has received. */
    CallRegistry calls() {
        return mCalls;
    }

    RankedLock admissionLock() {
        return mAdmissionLock;
    }

    /**
     * Sets the detector that is notified of broken connections and of targets that are gone.
     *
     * @param crashDetector the detector
     */
    void setCrashDetector(final CrashDetector crashDetector) {
        mFailures.setCrashDetector(crashDetector);
    }

    /** Sets what decides which versions of a service get calls, and counts their ends. */
    void setRollouts(final RolloutService rollouts) {
        mRollouts = rollouts;
    }

    /** Returns the announcement of the target; empty if there is no target. */
    Optional<TargetAnnouncement> announcement() {
        return Optional.ofNullable(mTarget).map(GateTarget::announcement);
    }

    /**
     * Returns the targets with calls that wait or are in service: the present one and those that it
     * has replaced, or that were withdrawn.
     */
    synchronized List<TargetAnnouncement> busyTargets() {
        mRetired.removeIf(target -> !isBusy(target));
        final List<TargetAnnouncement> busy = new ArrayList<>();
        mRetired.forEach(target -> busy.add(target.announcement()));
        final GateTarget target = mTarget;
        if (target != null && isBusy(target)) {
            busy.add(target.announcement());
        }
        return busy;
    }

    private boolean isBusy(final GateTarget target) {
        final TargetLoad load = mAdmissionLock.get(target.admission()::load);
        return load.inFlight() > 0 || load.queued() > 0;
    }

    /** Counts the end of a run by version and route if a roll-out of the service is open. */
    void recordVersionEnd(
            final CallHead head,
            final GateTarget target,
            final boolean hasFailed,
            final long serviceNanos,
            final int speedPercent) {
        final RolloutService rollouts = mRollouts;
        if (rollouts != null) {
            rollouts.recorder()
                    .recordEnd(
                            target.announcement(),
                            head.route(),
                            hasFailed,
                            serviceNanos
                                    / 1_000.0
                                    * TargetLoad.NORMAL_SPEED_PERCENT
                                    / speedPercent);
        }
    }

    /**
     * Sets what tells whether the calls of repeated runs have spent the retry budget of a service.
     *
     * @param repeatBudgetSpent queried when the target fails a call
     */
    void setRepeatBudget(final BooleanSupplier repeatBudgetSpent) {
        mRepeatBudgetSpent = repeatBudgetSpent;
    }

    boolean isRepeatBudgetSpent() {
        return mRepeatBudgetSpent.getAsBoolean();
    }

    HeaderNames headerNames() {
        return mSettings.profile().names();
    }

    KeyCoordinator keyCoordinator() {
        return mKeyCoordinator;
    }

    long keyWindowNanos(final String service) {
        return TimeUnit.SECONDS.toNanos(
                mCatalogue
                        .get()
                        .service(service)
                        .map(ServiceEntry::resendWindowSeconds)
                        .orElse(CallRegistry.OUTCOME_RETENTION_SECONDS));
    }

    /**
     * Removes idempotency keys whose resend window has passed.
     *
     * @param nowNanos the monotonic clock, in nanoseconds
     */
    public void expireKeys(final long nowNanos) {
        mKeyCoordinator.expire(nowNanos);
    }

    /**
     * Returns the number of idempotency keys in the gate's key table.
     *
     * @return the number of keys
     */
    public int keyCount() {
        return mKeyCoordinator.size();
    }

    /**
     * Returns whether the target may still receive a call that was admitted before, and counts it.
     */
    boolean mayStart(final GateTarget target) {
        final RolloutService rollouts = mRollouts;
        return mAdmissionLock.get(() -> target.admission().mayStart(System.nanoTime()))
                && (rollouts == null || rollouts.tryStart(target.announcement()));
    }

    boolean requiresKeys() {
        return mCatalogue.get().requiresKeys();
    }

    Optional<GateTarget> targetFor(final String service) {
        final GateTarget target = mTarget;
        return target != null && target.announcement().service().equals(service)
                ? Optional.of(target)
                : Optional.empty();
    }

    // -- admission

    AdmissionDecision offer(final GateCall call, final GateTarget target) {
        if (!mCatalogue.get().isInService(mSettings.host(), mSettings.dataCentre())) {
            return new AdmissionDecision.Refused(ErrorCode.LEAVING);
        }
        if (mFailures.isQuarantined(call.head())) {
            return new AdmissionDecision.Refused(ErrorCode.QUARANTINED);
        }
        final Catalogue catalogue = mCatalogue.get();
        final Optional<ServiceEntry> entry = catalogue.service(call.head().service());
        final Limits limits = entry.map(ServiceEntry::limits).orElse(Limits.UNLIMITED);
        final TargetParameters parameters =
                entry.map(ServiceEntry::targetParameters).orElse(TargetParameters.DEFAULT);
        final long now = System.nanoTime();
        final AdmissionRequest request =
                AdmissionRequests.of(
                        call.head(),
                        catalogue.fairShares().weight(call.head().organisation()),
                        limits.queueMillis(),
                        now);
        return mQueue.offer(
                call,
                target,
                parameters,
                () -> {
                    final GateAdmission admission = target.admission();
                    admission.setColdRateLimit(mSettings.bounds(), parameters.coldRatePerSecond());
                    admission.setProbeable(!parameters.probePath().isEmpty());
                    admission.setOrderedByCost(catalogue.ordersByCost(call.head().service()));
                    return decide(target, request, now);
                });
    }

    /** Decides on a call; runs with the lock of the admission state. */
    private AdmissionDecision decide(
            final GateTarget target, final AdmissionRequest request, final long nowNanos) {
        final RolloutService rollouts = mRollouts;
        if (rollouts != null && !rollouts.mayAdmit(target.announcement())) {
            return new AdmissionDecision.Refused(ErrorCode.LEAVING);
        }
        return target.admission().offer(request, nowNanos);
    }

    void release(
            final GateCall call,
            final GateTarget target,
            final boolean healthy,
            final long serviceNanos) {
        mQueue.release(call, target, healthy, serviceNanos);
    }

    /** Records the speed in the load header of a target's response to a call. */
    void recordLoad(final GateTarget target, final Optional<LoadHeader> load) {
        recordSpeed(target.admission(), load);
    }

    /** Records the speed and the remaining cold time in a target's response to a probe. */
    void recordProbeResponse(
            final GateAdmission admission, final int status, final HttpHeaders headers) {
        final String load = headers.get(headerNames().load());
        recordSpeed(admission, LoadHeader.parse(load));
        if (load == null && HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS) {
            mAdmissionLock.run(admission::recordNoSpeed);
        }
        final int coldMillis = headers.getInt(headerNames().coldMillis(), 0);
        mAdmissionLock.run(
                () -> admission.setColdMillis(Math.max(0, coldMillis), System.nanoTime()));
    }

    private void recordSpeed(final GateAdmission admission, final Optional<LoadHeader> load) {
        if (load.isPresent()) {
            final int speedPercent = load.get().speedPercent();
            mAdmissionLock.run(() -> admission.recordSpeed(speedPercent, System.nanoTime()));
        }
    }

    /**
     * Applies changed settings.
     *
     * @param settings the new settings
     */
    public void reload(final NodeSettings settings) {
        mSettings = settings;
    }

    // -- leaving

    /** Stops admitting calls and refuses queued ones. Calls in service continue. */
    public void leave() {
        mLeaving = true;
        final GateTarget target = mTarget;
        if (target != null) {
            mQueue.refuseWaiting(target);
        }
    }

    /**
     * Returns whether the gate admits no calls because the node is leaving.
     *
     * @return true after {@link #leave}
     */
    public boolean isLeaving() {
        return mLeaving;
    }

    @Override
    public void close() {
        withdrawTarget();
    }
}
