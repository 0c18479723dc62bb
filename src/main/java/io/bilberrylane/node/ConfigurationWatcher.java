package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.membership.WatcherSelection;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.platform.ObjectEvent;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * Watches the configuration in the platform while this node is one of the few selected watchers,
 * which are in different data centres if there are enough of them. All other nodes receive changes
 * from peers. A watcher that the platform does not answer tells all nodes, and others take over.
 */
final class ConfigurationWatcher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long CHECK_INTERVAL_MILLIS = 200;
    private static final long STARTUP_CHECK_INTERVAL_MILLIS = 20;

    /**
     * How long a started node waits for the configuration from peers before it asks the platform.
     */
    private static final int PEER_WAIT_MILLIS = 300;

    /**
     * Spreads the platform reads of nodes that start together, so that the first node can pass the
     * configuration on to the others.
     */
    private static final int MAX_JITTER_MILLIS = 600;

    /**
     * Replaces {@code PEER_WAIT_MILLIS} if seeds are listed: the fleet has run before, so callers
     * may be waiting.
     */
    private static final int RESTART_PEER_WAIT_MILLIS = 80;

    private static final int RESTART_JITTER_MILLIS_PER_SEED = 20;

    /** A node that knows no other after this time watches the platform itself. */
    private static final long ALONE_WAIT_MILLIS = 2_500;

    private final Transport mTransport;
    private final NodeIdentity mIdentity;
    private final MembershipService mMembership;
    private final ConfigurationService mConfiguration;
    private final ConfigurationFormat mFormat;
    private final KindWatch mCatalogueWatch;
    private final Optional<KindWatch> mOutageWatch;
    private final Optional<KindWatch> mRolloutWatch;
    private final PlatformAccessProbe mAccessProbe;
    private final Set<String> mOutages = new HashSet<>();
    private final IntSupplier mSeedCount;
    private final double mJitterFraction;
    private final long mStartNanos = System.nanoTime();
    private volatile long mRankedAtChangeCount = Long.MIN_VALUE;
    private volatile boolean mIsWatcher;
    private volatile boolean mStopped;
    private volatile Runnable mStopChecks = () -> {};

    ConfigurationWatcher(
            final Transport transport,
            final NodeIdentity identity,
            final ObjectStore store,
            final ObjectStore lists,
            final MembershipService membership,
            final ConfigurationService configuration,
            final ConfigurationFormat format,
            final IntSupplier seedCount,
            final boolean watchesRollouts) {
        mSeedCount = seedCount;
        mTransport = transport;
        mIdentity = identity;
        mMembership = membership;
        mConfiguration = configuration;
        mFormat = format;
        mJitterFraction = new Random(identity.incarnation()).nextDouble();
        mCatalogueWatch =
                new KindWatch(transport, store, lists, format.kind(), new CatalogueListener());
        mOutageWatch =
                format.outageKind()
                        .map(
                                kind ->
                                        new KindWatch(
                                                transport,
                                                store,
                                                lists,
                                                kind,
                                                new OutageListener()));
        mRolloutWatch =
                watchesRollouts
                        ? Optional.of(
                                new KindWatch(
                                        transport,
                                        store,
                                        lists,
                                        RolloutFormat.KIND,
                                        new RolloutListener(configuration, membership)))
                        : Optional.empty();
        mAccessProbe =
                new PlatformAccessProbe(
                        transport.group().next(),
                        store,
                        format.outageKind().orElse(format.kind()),
                        membership::announceReadsPlatform);
    }

    void start() {
        check();
        checkAtStart();
    }

    void stop() {
        mStopped = true;
        mStopChecks.run();
        mCatalogueWatch.stop();
        mOutageWatch.ifPresent(KindWatch::stop);
        mRolloutWatch.ifPresent(KindWatch::stop);
        mAccessProbe.stop();
    }

    private void check() {
        if (mStopped) {
            return;
        }
        final boolean alone = mMembership.members().size() <= 1;
        final long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        final boolean peerWaitElapsed = ageMillis >= peerWaitMillis();
        final boolean shouldWatch =
                alone ? ageMillis >= ALONE_WAIT_MILLIS : peerWaitElapsed && isWatcher();
        final KindWatch.Mode mode =
                mode(shouldWatch, peerWaitElapsed && !mConfiguration.isComplete());
        mCatalogueWatch.setMode(mode);
        mOutageWatch.ifPresent(watch -> watch.setMode(mode));
        mRolloutWatch.ifPresent(watch -> watch.setMode(mode));
        mAccessProbe.setNeeded(shouldWatch);
    }

    /** Checks often until the configuration is known, then with the other recurring tasks. */
    private void checkAtStart() {
        if (mStopped) {
            return;
        }
        if (mConfiguration.isComplete()) {
            mStopChecks =
                    mTransport
                            .ticker()
                            .every(
                                    CHECK_INTERVAL_MILLIS,
                                    GuardedTask.of("configuration watch", this::check));
            return;
        }
        GuardedTask.of("configuration watch", this::check).run();
        mTransport
                .group()
                .schedule(this::checkAtStart, STARTUP_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static KindWatch.Mode mode(final boolean shouldWatch, final boolean isMissing) {
        if (shouldWatch) {
            return KindWatch.Mode.WATCH;
        }
        return isMissing ? KindWatch.Mode.UNTIL_KNOWN : KindWatch.Mode.OFF;
    }

    /** Returns how long to wait for the configuration from peers before asking the platform. */
    private long peerWaitMillis() {
        final int seeds = mSeedCount.getAsInt();
        if (seeds == 0) {
            return PEER_WAIT_MILLIS + Math.round(mJitterFraction * MAX_JITTER_MILLIS);
        }
        final int maxJitterMillis =
                Math.min(MAX_JITTER_MILLIS, seeds * RESTART_JITTER_MILLIS_PER_SEED);
        return RESTART_PEER_WAIT_MILLIS + Math.round(mJitterFraction * maxJitterMillis);
    }

    // -- watcher selection

    /**
     * Returns whether this node is one of the selected watchers. The selection is recomputed only
     * after the membership has changed.
     */
    private boolean isWatcher() {
        final long changeCount = mMembership.changeCount();
        if (changeCount != mRankedAtChangeCount) {
            mRankedAtChangeCount = changeCount;
            mIsWatcher = WatcherSelection.select(mMembership.members()).contains(mIdentity.host());
        }
        return mIsWatcher;
    }

    // -- listeners

    private final class CatalogueListener implements KindWatch.Listener {
        @Override
        public boolean isKnown() {
            return mConfiguration.version().catalogue() > 0;
        }

        @Override
        public void onList(final long version, final List<StoredObject> objects) {
            objects.forEach(this::apply);
        }

        @Override
        public void onEvents(final long version, final List<ObjectEvent> events) {
            for (final ObjectEvent event : events) {
                if (event.deleted()) {
                    LOGGER.atSevere().log(
                            "configuration object deleted; the last configuration stays active");
                } else {
                    apply(event.object());
                }
            }
        }

        @Override
        public boolean differs(final List<StoredObject> objects) {
            return objects.stream()
                    .filter(object -> object.name().equals(mFormat.name()))
                    .map(object -> mFormat.document(object.version(), object.spec()).revision())
                    .anyMatch(revision -> revision > mConfiguration.version().catalogue());
        }

        private void apply(final StoredObject object) {
            if (!object.name().equals(mFormat.name())) {
                return;
            }
            final ConfigurationDocument document =
                    mFormat.document(object.version(), object.spec());
            if (mConfiguration.applyIfNewer(document.revision(), document.text())) {
                mMembership.announceConfiguration();
            }
        }
    }

    private final class OutageListener implements KindWatch.Listener {
        @Override
        public boolean isKnown() {
            return mConfiguration.version().outages() > 0;
        }

        @Override
        public void onList(final long version, final List<StoredObject> objects) {
            mOutages.clear();
            objects.forEach(object -> mOutages.add(object.name()));
            apply(version);
        }

        @Override
        public void onEvents(final long version, final List<ObjectEvent> events) {
            for (final ObjectEvent event : events) {
                if (event.deleted()) {
                    mOutages.remove(event.object().name());
                } else {
                    mOutages.add(event.object().name());
                }
            }
            if (!events.isEmpty()) {
                apply(version);
            }
        }

        @Override
        public boolean differs(final List<StoredObject> objects) {
            return !mOutages.equals(
                    objects.stream().map(StoredObject::name).collect(Collectors.toSet()));
        }

        private void apply(final long version) {
            if (mConfiguration.applyOutagesIfNewer(version, mOutages)) {
                mMembership.announceConfiguration();
            }
        }
    }
}
