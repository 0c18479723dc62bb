package io.bilberrylane.node;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.platform.ObjectJson;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutView;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds the roll-outs that this node knows, decides which versions its calls and its target's calls
 * may use, and exchanges evidence and phases with other nodes.
 */
final class RolloutService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 250;
    private static final int MAX_LOGGED_CHARS = 200;

    private final NodeSettings mSettings;
    private final MembershipService mMembership;
    private final Gate mGate;
    private final RolloutTable mTable;
    private final RolloutRecorder mRecorder;
    private final RolloutSynchronizer mSynchronizer;
    private final VersionAges mVersionAges = new VersionAges();
    private final RolloutExchange mExchange;
    private final RolloutWriter mWriter;
    private final ConfigurationService mConfiguration;
    private ScheduledFuture<?> mTicker;

    RolloutService(
            final NodeIdentity identity,
            final NodeSettings settings,
            final MembershipService membership,
            final PeerLinks links,
            final Gate gate,
            final ConfigurationService configuration,
            final ObjectStore store) {
        mSettings = settings;
        mMembership = membership;
        mGate = gate;
        mConfiguration = configuration;
        mTable = new RolloutTable(settings.rollouts(), new Random(identity.incarnation() + 3));
        mRecorder = new RolloutRecorder(identity, mTable);
        mSynchronizer = new RolloutSynchronizer(mTable);
        mExchange = new RolloutExchange(identity, membership, links, mSynchronizer);
        mWriter =
                new RolloutWriter(
                        identity.host(),
                        store,
                        settings.profile().format().rollouts(),
                        mTable.lock(),
                        this::onStored);
    }

    void start(final EventLoop loop) {
        if (mTable.isEnabled()) {
            mTicker =
                    loop.scheduleAtFixedRate(
                            GuardedTask.of("roll-outs", this::tick),
                            TICK_MILLIS,
                            TICK_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    void stop() {
        if (mTicker != null) {
            mTicker.cancel(false);
        }
    }

    /** Returns the phase of a service's roll-out, for tests. */
    Optional<RolloutPhase> phase(final String service) {
        return mTable.lock().get(() -> mTable.entry(service).map(RolloutEntry::phase));
    }

    // -- orders

    /** Takes over all orders that the platform holds, as of a revision. */
    void onOrders(final long revision, final List<String> objects) {
        final Map<String, RolloutOrder> orders = new HashMap<>();
        objects.forEach(text -> read(text).ifPresent(order -> orders.put(order.service(), order)));
        final Set<String> versions = new HashSet<>();
        orders.keySet().forEach(service -> versions.addAll(presentVersions(service)));
        mTable.replaceOrders(revision, orders, versions);
        RolloutLog.writePhases(mTable);
        if (hasUnknown()) {
            mExchange.askSome();
        }
    }

    private boolean hasUnknown() {
        return mTable.lock()
                .get(() -> mTable.entries().stream().anyMatch(RolloutService::isUnknown));
    }

    private static boolean isUnknown(final RolloutEntry entry) {
        return entry.isActive() && !entry.isKnown();
    }

    private Optional<RolloutOrder> read(final String text) {
        try {
            final StoredObject object = ObjectJson.read(RolloutFormat.KIND, ObjectJson.parse(text));
            return Optional.of(
                    mSettings
                            .profile()
                            .format()
                            .rollouts()
                            .read(object.name(), object.version(), object.spec(), object.status()));
        } catch (IllegalArgumentException | BilberrylaneException e) {
            LOGGER.atWarning().log(
                    "rollout-malformed: an order for a roll-out was ignored: %s in '%s'",
                    e.getMessage(), Ascii.truncate(text, MAX_LOGGED_CHARS, "..."));
            return Optional.empty();
        }
    }

    private Set<String> presentVersions(final String service) {
        final Set<String> versions = new HashSet<>();
        mMembership.members().stream()
                .flatMap(member -> member.target().stream())
                .filter(target -> target.service().equals(service))
                .forEach(target -> versions.add(target.version()));
        return versions;
    }

    /** Applies what the platform has replied about one object. */
    void onStored(final StoredObject object) {
        final Set<String> versions = presentVersions(object.name());
        read(ObjectJson.write(object).toString())
                .ifPresent(order -> mTable.updateOrder(order, versions));
        RolloutLog.writePhases(mTable);
    }

    RolloutRecorder recorder() {
        return mRecorder;
    }

    // -- calls

    /** Returns the targets that a call may have, of those that its route allows. */
    RolloutChoice choose(
            final String service,
            final List<TargetRef> targets,
            final int route,
            final boolean isFirstOffer) {
        if (!mTable.isEnabled()) {
            return RolloutChoice.of(targets);
        }
        final long nowNanos = System.nanoTime();
        final List<TargetRef> settled = mVersionAges.settled(service, targets, nowNanos);
        if (mTable.isEmpty()) {
            return RolloutChoice.of(settled);
        }
        final Optional<RolloutChoice> choice =
                mTable.lock()
                        .get(() -> chooseLocked(service, targets, route, isFirstOffer, nowNanos));
        return choice.orElseGet(() -> RolloutChoice.of(settled));
    }

    private Optional<RolloutChoice> chooseLocked(
            final String service,
            final List<TargetRef> targets,
            final int route,
            final boolean isFirstOffer,
            final long nowNanos) {
        final long wallMillis = System.currentTimeMillis();
        return mTable.entry(service)
                .map(entry -> entry.choose(targets, route, isFirstOffer, nowNanos, wallMillis));
    }

    /** Returns whether the gate may let a call in to its target. */
    boolean mayAdmit(final TargetAnnouncement target) {
        return mTable.isEmpty() || mTable.lock().get(() -> mayAdmitLocked(target));
    }

    private boolean mayAdmitLocked(final TargetAnnouncement target) {
        return mTable.entry(target.service()).map(entry -> mayAdmit(entry, target)).orElse(true);
    }

    private boolean mayAdmit(final RolloutEntry entry, final TargetAnnouncement target) {
        return entry.mayAdmit(
                target.version(),
                mRecorder.hasDrained(entry, target),
                System.nanoTime(),
                System.currentTimeMillis());
    }

    /** Returns whether a call that was admitted may start at a target, and counts it then. */
    boolean tryStart(final TargetAnnouncement target) {
        return mRecorder.tryStart(target, System.nanoTime(), System.currentTimeMillis());
    }

    // -- exchange

    PeerMessage.RolloutSyncReply replyTo(final PeerMessage.RolloutSync request) {
        return mSynchronizer.replyTo(request);
    }

    // -- decisions

    private void tick() {
        if (mTable.isEmpty()) {
            return;
        }
        final RolloutFleet fleet = RolloutFleet.of(mMembership.members(), mConfiguration);
        final Optional<TargetAnnouncement> target = mGate.announcement();
        // The gate must be seen empty after it was seen closed, not before.
        final Set<String> closed = mRecorder.closedFor();
        final List<TargetAnnouncement> busy = mGate.busyTargets();
        mTable.lock().run(() -> mRecorder.recordTargets(target, busy, closed));
        final List<RolloutEntry> active = new ArrayList<>();
        final boolean hasStopped = mTable.lock().get(() -> evaluateAll(fleet, active));
        RolloutLog.writePhases(mTable);
        if (hasStopped) {
            mExchange.announce();
        }
        if (!active.isEmpty()) {
            mExchange.exchangeWithOne(active.stream().map(RolloutEntry::service).toList());
            active.forEach(entry -> mWriter.writeIfDue(entry, fleet));
        }
    }

    /** Adds the active roll-outs to a list and returns whether one of them was stopped. */
    private boolean evaluateAll(final RolloutFleet fleet, final List<RolloutEntry> active) {
        boolean hasStopped = false;
        for (final RolloutEntry entry : mTable.entries()) {
            if (entry.isActive()) {
                active.add(entry);
                hasStopped |= evaluate(entry, fleet);
            }
        }
        mTable.removeWithdrawn(fleet);
        return hasStopped;
    }

    /** Returns whether this node has found a reason to stop the new version. */
    private static boolean evaluate(final RolloutEntry entry, final RolloutFleet fleet) {
        fleet.recordTargets(entry);
        final RolloutView view = fleet.view(entry);
        entry.renewIfAlone(System.nanoTime(), System.currentTimeMillis());
        if (entry.beginsTrial(view.newSlots())) {
            RolloutLog.writeTrial(entry, view.newSlots());
        }
        return entry.rollout().evaluate(view, System.nanoTime())
                && entry.phase() == RolloutPhase.STOPPED;
    }
}
