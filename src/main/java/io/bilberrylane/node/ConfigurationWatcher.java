package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.Identity;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.platform.WatchListener;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Watches the configuration in the platform while this node is one of the first two of its data
 * centre by rendezvous hash. Every other node learns of changes from peers.
 */
final class ConfigurationWatcher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int WATCHERS_PER_DATA_CENTRE = 2;
    private static final long CHECK_MILLIS = 1_000;
    private static final int MAX_BACKOFF_MILLIS = 2_000;

    private final Transport mTransport;
    private final Identity mIdentity;
    private final ObjectStore mStore;
    private final MembershipService mMembership;
    private final ConfigurationService mConfiguration;
    private final Random mRandom;
    private AutoCloseable mWatch;
    private boolean mBusy;
    private long mGeneration;
    private volatile boolean mStopped;

    ConfigurationWatcher(
            final Transport transport,
            final Identity identity,
            final ObjectStore store,
            final MembershipService membership,
            final ConfigurationService configuration) {
        mTransport = transport;
        mIdentity = identity;
        mStore = store;
        mMembership = membership;
        mConfiguration = configuration;
        mRandom = new Random(identity.incarnation() + 1);
    }

    void start() {
        check();
    }

    synchronized void stop() {
        mStopped = true;
        endWatch();
    }

    boolean isWatching() {
        return mWatch != null;
    }

    private void check() {
        if (mStopped) {
            return;
        }
        final boolean shouldWatch = mConfiguration.revision() == 0 || isWatcher();
        synchronized (this) {
            if (shouldWatch && !mBusy && mWatch == null) {
                mBusy = true;
                list();
            } else if (!shouldWatch) {
                endWatch();
            }
        }
        mTransport.group().schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isWatcher() {
        final List<String> first =
                mMembership.members().stream()
                        .filter(member -> member.status() == MemberStatus.ALIVE)
                        .filter(member -> member.dataCentre().equals(mIdentity.dataCentre()))
                        .map(Member::host)
                        .sorted(Comparator.comparingLong(ConfigurationWatcher::weight))
                        .limit(WATCHERS_PER_DATA_CENTRE)
                        .toList();
        return first.contains(mIdentity.host());
    }

    private static long weight(final String host) {
        return Hashing.murmur3_128().hashString(host, StandardCharsets.UTF_8).asLong();
    }

    // -- list and watch

    private void list() {
        mStore.list(ConfigurationDocument.KIND)
                .whenComplete(
                        (list, failure) -> {
                            if (failure != null) {
                                LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                                        "configuration not read: %s", failure.getMessage());
                                retryLater();
                                return;
                            }
                            list.items().forEach(this::take);
                            watch(list.version());
                        });
    }

    private synchronized void watch(final long version) {
        mBusy = false;
        if (mStopped) {
            return;
        }
        final long generation = ++mGeneration;
        mWatch =
                mStore.watch(
                        ConfigurationDocument.KIND,
                        version,
                        new WatchListener() {
                            @Override
                            public void onChanged(final StoredObject object) {
                                take(object);
                            }

                            @Override
                            public void onDeleted(final StoredObject object) {
                                LOGGER.atSevere().log(
                                        "configuration object deleted; the last one stays");
                            }

                            @Override
                            public void onEnded(final RuntimeException cause) {
                                watchEnded(generation);
                            }
                        });
    }

    private synchronized void watchEnded(final long generation) {
        if (generation == mGeneration && mWatch != null) {
            mWatch = null;
            mBusy = true;
            retryLater();
        }
    }

    private void retryLater() {
        final long delay = MAX_BACKOFF_MILLIS / 4 + mRandom.nextInt(MAX_BACKOFF_MILLIS);
        mTransport.group().schedule(this::release, delay, TimeUnit.MILLISECONDS);
    }

    private synchronized void release() {
        mBusy = false;
    }

    private void endWatch() {
        mGeneration++;
        if (mWatch != null) {
            try {
                mWatch.close();
            } catch (Exception e) {
                LOGGER.atWarning().withCause(e).log("watch failed to close");
            }
            mWatch = null;
        }
    }

    private void take(final StoredObject object) {
        if (object.name().equals(ConfigurationDocument.NAME)) {
            final ConfigurationDocument document = ConfigurationDocument.read(object.spec());
            mConfiguration.offer(document.revision(), document.text());
        }
    }
}
