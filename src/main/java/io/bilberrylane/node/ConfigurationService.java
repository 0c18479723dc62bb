package io.bilberrylane.node;

import com.google.common.base.Suppliers;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.Finding;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.peer.CompressedText;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Holds the active configuration. Applies a catalogue or an outage list from the platform or a peer
 * only if it is newer than the active one.
 */
public final class ConfigurationService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_LISTED_FINDINGS = 20;
    private static final long NOT_PULLING = Long.MIN_VALUE;
    private static final long PULL_TIMEOUT_MILLIS = 2_000;

    /** After this time, an unanswered pull no longer prevents a pull from another peer. */
    private static final long SLOW_PULL_NANOS = 300_000_000L;

    /**
     * An immutable state of the configuration. The text is compressed lazily, when a peer first
     * requests it.
     */
    private record Snapshot(
            ConfigurationVersion version,
            Supplier<CompressedText> compressedText,
            List<Finding> findings,
            Catalogue baseCatalogue,
            Set<String> outages,
            List<String> rollouts,
            Catalogue effectiveCatalogue) {
        private static final Snapshot EMPTY =
                new Snapshot(
                        ConfigurationVersion.NONE,
                        () -> CompressedText.EMPTY,
                        List.of(),
                        Catalogue.empty(),
                        Set.of(),
                        List.of(),
                        Catalogue.empty());

        private Snapshot withCatalogue(
                final long revision, final String newText, final CatalogueCheck check) {
            return new Snapshot(
                    new ConfigurationVersion(revision, version.outages(), version.rollouts()),
                    Suppliers.memoize(() -> CompressedText.of(newText)),
                    check.findings(),
                    check.catalogue(),
                    outages,
                    rollouts,
                    check.catalogue().withDataCentresOut(outages));
        }

        private Snapshot withRollouts(final long revision, final List<String> newRollouts) {
            return new Snapshot(
                    new ConfigurationVersion(version.catalogue(), version.outages(), revision),
                    compressedText,
                    findings,
                    baseCatalogue,
                    outages,
                    newRollouts,
                    effectiveCatalogue);
        }

        private Snapshot withOutages(final long revision, final Set<String> newOutages) {
            return new Snapshot(
                    new ConfigurationVersion(version.catalogue(), revision, version.rollouts()),
                    compressedText,
                    findings,
                    baseCatalogue,
                    newOutages,
                    rollouts,
                    baseCatalogue.withDataCentresOut(newOutages));
        }
    }

    private final RankedLock mLock = RankedLock.of(LockRank.CONFIGURATION);
    private final ConfigurationFormat mFormat;
    private final PeerLinks mLinks;
    private final Consumer<ConfigurationVersion> mVersionListener;
    private final AtomicLong mPullStartNanos = new AtomicLong(NOT_PULLING);
    private final Optional<BiConsumer<Long, List<String>>> mRolloutListener;
    private volatile Snapshot mSnapshot = Snapshot.EMPTY;

    /**
     * Creates a service that has no configuration yet.
     *
     * @param format the format of the configuration documents
     * @param links the links to peers
     * @param versionListener receives each version that becomes active
     */
    public ConfigurationService(
            final ConfigurationFormat format,
            final PeerLinks links,
            final Consumer<ConfigurationVersion> versionListener) {
        this(format, links, versionListener, Optional.empty());
    }

    /**
     * Creates a service that may also hold the orders for roll-outs.
     *
     * @param format the format of the configuration documents
     * @param links the links to peers
     * @param versionListener receives each version that becomes active
     * @param rolloutListener receives each newer set of orders with its revision, as JSON objects;
     *     empty if this node does not take part in roll-outs
     */
    ConfigurationService(
            final ConfigurationFormat format,
            final PeerLinks links,
            final Consumer<ConfigurationVersion> versionListener,
            final Optional<BiConsumer<Long, List<String>>> rolloutListener) {
        mRolloutListener = rolloutListener;
        mFormat = format;
        mLinks = links;
        mVersionListener = versionListener;
    }

    // -- queries

    /**
     * Returns the active catalogue, with the current outages applied.
     *
     * @return the catalogue; empty until the configuration is complete
     */
    public Catalogue catalogue() {
        return isComplete() ? mSnapshot.effectiveCatalogue() : Catalogue.empty();
    }

    /**
     * Returns the active version.
     *
     * @return the version; {@code NONE} before the first configuration
     */
    public ConfigurationVersion version() {
        return mSnapshot.version();
    }

    /**
     * Returns whether every part of the configuration is known.
     *
     * @return true if the node may serve calls
     */
    public boolean isComplete() {
        final ConfigurationVersion version = mSnapshot.version();
        return version.catalogue() > 0
                && (version.outages() > 0 || mFormat.outageKind().isEmpty())
                && (version.rollouts() > 0 || mRolloutListener.isEmpty());
    }

    /**
     * Returns the findings of the active catalogue: what was left out or is not fully understood.
     *
     * @return the findings; empty if the catalogue is applied as it was written
     */
    public List<Finding> findings() {
        return mSnapshot.findings();
    }

    /**
     * Returns the first findings as lines.
     *
     * @return at most {@value #MAX_LISTED_FINDINGS} lines
     */
    public List<String> findingLines() {
        return firstLines(findings());
    }

    PeerMessage.ConfigurationReply replyTo(final PeerMessage.ConfigurationPull pull) {
        final Snapshot snapshot = mSnapshot;
        final boolean newer = snapshot.version().catalogue() > pull.known().catalogue();
        return new PeerMessage.ConfigurationReply(
                pull.requestId(),
                snapshot.version(),
                newer ? snapshot.compressedText().get() : CompressedText.EMPTY,
                List.copyOf(new TreeSet<>(snapshot.outages())),
                snapshot.version().rollouts() > pull.known().rollouts()
                        ? snapshot.rollouts()
                        : List.of());
    }

    // -- changes

    /**
     * Applies a catalogue if it is valid and newer than the active one.
     *
     * @param revision the revision of the catalogue
     * @param text the text of the catalogue
     * @return whether the catalogue was applied
     */
    public boolean applyIfNewer(final long revision, final String text) {
        if (revision <= mSnapshot.version().catalogue()) {
            return false;
        }
        final CatalogueCheck check = mFormat.check("configuration@" + revision, text);
        if (!check.isApplicable()) {
            LOGGER.atSevere().log(
                    "configuration %d is invalid and was ignored: %s",
                    revision, firstLines(check.findings()));
            return false;
        }
        final boolean applied =
                mLock.get(
                        () -> {
                            if (revision <= mSnapshot.version().catalogue()) {
                                return false;
                            }
                            mSnapshot = mSnapshot.withCatalogue(revision, text, check);
                            return true;
                        });
        if (applied) {
            logFindings(revision, check.findings());
        }
        return publishIfApplied(applied);
    }

    private static void logFindings(final long revision, final List<Finding> findings) {
        if (!findings.isEmpty()) {
            LOGGER.atWarning().log(
                    "configuration %d is applied in part, with %d findings: %s",
                    revision, findings.size(), firstLines(findings));
        }
    }

    private static List<String> firstLines(final List<Finding> findings) {
        return findings.stream().limit(MAX_LISTED_FINDINGS).map(Finding::line).toList();
    }

    /**
     * Applies the set of data centres that are out of service, if its revision is newer and the set
     * differs from the active one.
     *
     * @param revision the revision of the set
     * @param dataCentres all data centres that are out of service
     * @return whether the set was applied
     */
    public boolean applyOutagesIfNewer(final long revision, final Set<String> dataCentres) {
        final Set<String> copy = Set.copyOf(dataCentres);
        return publishIfApplied(
                mLock.get(
                        () -> {
                            final Snapshot snapshot = mSnapshot;
                            final boolean unchanged =
                                    snapshot.version().outages() > 0
                                            && copy.equals(snapshot.outages());
                            if (revision <= snapshot.version().outages() || unchanged) {
                                return false;
                            }
                            mSnapshot = snapshot.withOutages(revision, copy);
                            return true;
                        }));
    }

    /**
     * Applies the orders for roll-outs if their revision is newer.
     *
     * @param revision the revision of the set of orders
     * @param objects all objects that hold an order, as JSON
     * @return whether the orders differ from those known so far
     */
    boolean applyRolloutsIfNewer(final long revision, final List<String> objects) {
        final boolean[] isNewer = new boolean[1];
        final boolean differs =
                mLock.get(
                        () -> {
                            final Snapshot snapshot = mSnapshot;
                            if (revision <= snapshot.version().rollouts()) {
                                return false;
                            }
                            isNewer[0] = true;
                            mSnapshot = snapshot.withRollouts(revision, List.copyOf(objects));
                            return snapshot.version().rollouts() == 0
                                    || !objects.equals(snapshot.rollouts());
                        });
        if (isNewer[0]) {
            mRolloutListener.ifPresent(listener -> listener.accept(revision, objects));
            mVersionListener.accept(mSnapshot.version());
        }
        return differs;
    }

    private boolean publishIfApplied(final boolean applied) {
        if (applied) {
            final Snapshot snapshot = mSnapshot;
            LOGGER.atInfo().log(
                    "configuration %s is active, data centres out of service: %s",
                    snapshot.version(), snapshot.effectiveCatalogue().dataCentresOut());
            mVersionListener.accept(snapshot.version());
        }
        return applied;
    }

    /**
     * Pulls the configuration from a peer whose version is newer, unless another pull has started
     * recently and is still unanswered.
     *
     * @param peerAddress the address of the peer
     * @param peerVersion the active version of the peer
     */
    public void onPeerVersion(
            final InetSocketAddress peerAddress, final ConfigurationVersion peerVersion) {
        final ConfigurationVersion version =
                mRolloutListener.isPresent()
                        ? peerVersion
                        : new ConfigurationVersion(peerVersion.catalogue(), peerVersion.outages());
        if (!mSnapshot.version().isBehind(version)) {
            return;
        }
        final long nowNanos = System.nanoTime();
        final long lastPullStartNanos = mPullStartNanos.get();
        final boolean isPulling =
                lastPullStartNanos != NOT_PULLING
                        && nowNanos - lastPullStartNanos < SLOW_PULL_NANOS;
        if (isPulling || !mPullStartNanos.compareAndSet(lastPullStartNanos, nowNanos)) {
            return;
        }
        mLinks.request(
                peerAddress,
                id -> new PeerMessage.ConfigurationPull(id, mSnapshot.version()),
                PULL_TIMEOUT_MILLIS,
                reply -> {
                    mPullStartNanos.compareAndSet(nowNanos, NOT_PULLING);
                    if (reply.isPresent()
                            && reply.get()
                                    instanceof PeerMessage.ConfigurationReply configurationReply) {
                        applyReply(configurationReply);
                    }
                });
    }

    private void applyReply(final PeerMessage.ConfigurationReply reply) {
        if (!reply.document().isEmpty()) {
            reply.document()
                    .text()
                    .ifPresentOrElse(
                            text -> applyIfNewer(reply.version().catalogue(), text),
                            () ->
                                    LOGGER.atWarning().log(
                                            "configuration %s of a peer cannot be decompressed: %s",
                                            reply.version(), reply.document()));
        }
        if (reply.version().outages() > 0) {
            applyOutagesIfNewer(reply.version().outages(), Set.copyOf(reply.outages()));
        }
        if (mRolloutListener.isPresent()) {
            applyRolloutsIfNewer(reply.version().rollouts(), reply.rollouts());
        }
    }
}
