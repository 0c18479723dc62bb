package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

/** Holds the configuration in force; takes only newer revisions, from the platform or a peer. */
public final class ConfigurationService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long PULL_TIMEOUT_MILLIS = 1_000;

    private record Held(long revision, String text, Catalogue catalogue) {}

    private final RankedLock mLock = RankedLock.of(LockRank.CONFIGURATION);
    private final PeerLinks mLinks;
    private final LongConsumer mOnRevision;
    private final AtomicBoolean mPulling = new AtomicBoolean();
    private volatile Held mHeld = new Held(0, "", Catalogue.empty());

    /**
     * Creates a service without a configuration.
     *
     * @param links the way to peers
     * @param onRevision told each revision that comes into force
     */
    public ConfigurationService(final PeerLinks links, final LongConsumer onRevision) {
        mLinks = links;
        mOnRevision = onRevision;
    }

    // -- queries

    /**
     * Returns the catalogue in force.
     *
     * @return an empty catalogue before the first configuration
     */
    public Catalogue catalogue() {
        return mHeld.catalogue();
    }

    /**
     * Returns the revision in force.
     *
     * @return 0 before the first configuration
     */
    public long revision() {
        return mHeld.revision();
    }

    PeerMessage.ConfigurationReply answer(final PeerMessage.ConfigurationPull pull) {
        final Held held = mHeld;
        final String text = held.revision() > pull.knownVersion() ? held.text() : "";
        return new PeerMessage.ConfigurationReply(pull.questionId(), held.revision(), text);
    }

    // -- changes

    /**
     * Takes a configuration if it is newer than the one in force.
     *
     * @param revision its revision
     * @param text its catalogue
     * @return whether it came into force
     */
    public boolean offer(final long revision, final String text) {
        if (revision <= mHeld.revision()) {
            return false;
        }
        final CatalogueCheck check = CatalogueReader.read("configuration@" + revision, text);
        if (!check.isValid()) {
            LOGGER.atSevere().log(
                    "configuration %d is not valid and is ignored: %s", revision, check.findings());
            return false;
        }
        final boolean taken =
                mLock.get(
                        () -> {
                            if (revision <= mHeld.revision()) {
                                return false;
                            }
                            mHeld = new Held(revision, text, check.catalogue());
                            return true;
                        });
        if (taken) {
            LOGGER.atInfo().log("configuration %d is in force", revision);
            mOnRevision.accept(revision);
        }
        return taken;
    }

    /**
     * Pulls the configuration from a peer that holds a newer one.
     *
     * @param peerAddress the peer
     * @param revision the revision in force there
     */
    public void heard(final InetSocketAddress peerAddress, final long revision) {
        if (revision <= mHeld.revision() || !mPulling.compareAndSet(false, true)) {
            return;
        }
        mLinks.ask(
                peerAddress,
                id -> new PeerMessage.ConfigurationPull(id, mHeld.revision()),
                PULL_TIMEOUT_MILLIS,
                reply -> {
                    mPulling.set(false);
                    if (reply.isPresent()
                            && reply.get() instanceof PeerMessage.ConfigurationReply answer
                            && !answer.document().isEmpty()) {
                        offer(answer.version(), answer.document());
                    }
                });
    }
}
