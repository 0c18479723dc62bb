package io.bilberrylane.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.StartupSync;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Discovers other nodes through seed objects in the platform, one for each data centre, and
 * periodically synchronizes the member table with one of the known nodes.
 */
final class SeedService {
    /** The kind of seed objects. */
    static final String KIND = "seeds";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int SEEDS_PER_DATA_CENTRE = 2;
    private static final int MAX_REGISTRATION_JITTER_MILLIS = 600;
    private static final long ALONE_INTERVAL_MILLIS = 500;
    private static final long SYNC_INTERVAL_MILLIS = 10_000;
    private static final long SYNC_INTERVAL_MILLIS_PER_MEMBER = 100;
    private static final long SYNC_TIMEOUT_MILLIS = 2_000;
    private static final int ROUNDS_PER_LIST = 6;
    private static final int MAX_LOGGED_CHARS = 200;

    private static final long STARTUP_SYNC_INTERVAL_MILLIS = 120;

    private record Seed(String host, String address) {}

    private final Transport mTransport;
    private final NodeIdentity mIdentity;
    private final String mOwnAddress;
    private final ObjectStore mStore;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final Random mRandom;
    private volatile List<Seed> mKnownSeeds = List.of();
    private final StartupSync mStartupSync = StartupSync.create();
    private final long mStartNanos = System.nanoTime();
    private volatile boolean mRegistrationPending;
    private final AtomicBoolean mListing = new AtomicBoolean();
    private volatile boolean mStopped;
    private int mRound;

    SeedService(
            final Transport transport,
            final NodeIdentity identity,
            final InetSocketAddress ownAddress,
            final ObjectStore store,
            final MembershipService membership,
            final PeerLinks links) {
        mTransport = transport;
        mIdentity = identity;
        mOwnAddress = Addresses.format(ownAddress);
        mStore = store;
        mMembership = membership;
        mLinks = links;
        mRandom = new Random(identity.incarnation());
    }

    void start() {
        syncRound();
        startupSync();
    }

    /**
     * Returns the number of seeds that the platform listed last.
     *
     * @return the number of seeds; 0 if none were listed, as at the first start of a fleet
     */
    int seedCount() {
        return mKnownSeeds.size();
    }

    void stop() {
        mStopped = true;
    }

    private void syncRound() {
        if (mStopped) {
            return;
        }
        final boolean alone = isAlone();
        final long baseMillis = alone ? ALONE_INTERVAL_MILLIS : syncIntervalMillis();
        final long delayMillis = baseMillis / 2 + mRandom.nextInt((int) baseMillis);
        mTransport
                .group()
                .schedule(
                        GuardedTask.of("member synchronization", this::syncRound),
                        delayMillis,
                        TimeUnit.MILLISECONDS);
        final boolean isListDue = alone || mRound++ % ROUNDS_PER_LIST == 0;
        if (isListDue && mListing.compareAndSet(false, true)) {
            listSeeds();
        } else {
            syncWithRandomPeer();
        }
    }

    /** Lists the seeds; the list may wait until the platform answers. */
    private void listSeeds() {
        mStore.listStale(KIND)
                .whenComplete(
                        (list, failure) -> {
                            mListing.set(false);
                            if (failure == null) {
                                GuardedTask.of("seed list", () -> onSeeds(list.items())).run();
                            }
                            syncWithRandomPeer();
                        });
    }

    /**
     * Returns an interval that grows with the number of members, so that the bytes per second stay
     * constant.
     */
    private long syncIntervalMillis() {
        final long members = mMembership.members().size();
        return Math.max(SYNC_INTERVAL_MILLIS, members * SYNC_INTERVAL_MILLIS_PER_MEMBER);
    }

    private boolean isAlone() {
        return mMembership.members().stream().filter(Member::isPresent).count() <= 1;
    }

    // -- seeds

    private void onSeeds(final List<StoredObject> objects) {
        final List<Seed> seeds = new ArrayList<>();
        Optional<StoredObject> ownObject = Optional.empty();
        for (final StoredObject object : objects) {
            if (object.name().equals(mIdentity.dataCentre())) {
                ownObject = Optional.of(object);
            }
            seeds.addAll(readSeeds(object));
        }
        mKnownSeeds = List.copyOf(seeds);
        register(ownObject);
    }

    private void register(final Optional<StoredObject> ownObject) {
        final List<Seed> listed =
                new ArrayList<>(ownObject.map(SeedService::readSeeds).orElse(List.of()));
        final boolean isListed =
                listed.stream()
                        .anyMatch(
                                seed ->
                                        seed.host().equals(mIdentity.host())
                                                && seed.address().equals(mOwnAddress));
        listed.removeIf(this::isGone);
        if (isListed || listed.size() >= SEEDS_PER_DATA_CENTRE) {
            return;
        }
        if (!mRegistrationPending) {
            mRegistrationPending = true;
            mTransport
                    .group()
                    .schedule(
                            this::relist,
                            mRandom.nextInt(MAX_REGISTRATION_JITTER_MILLIS),
                            TimeUnit.MILLISECONDS);
            return;
        }
        mRegistrationPending = false;
        listed.add(new Seed(mIdentity.host(), mOwnAddress));
        final JsonNode spec = writeSeeds(listed);
        if (ownObject.isPresent()) {
            logFailure(
                    mStore.update(KIND, mIdentity.dataCentre(), ownObject.get().version(), spec));
        } else {
            logFailure(mStore.create(KIND, mIdentity.dataCentre(), spec));
        }
    }

    /** Lists the seeds again before this node registers, since another node may have registered. */
    private void relist() {
        mStore.listStale(KIND)
                .whenComplete(
                        (list, failure) -> {
                            if (failure == null) {
                                onSeeds(list.items());
                            } else {
                                mRegistrationPending = false;
                            }
                        });
    }

    private boolean isGone(final Seed seed) {
        if (seed.host().equals(mIdentity.host())) {
            return true;
        }
        return mMembership
                .member(seed.host())
                .map(member -> !member.isPresent())
                .orElse(!isAlone());
    }

    private void logFailure(final java.util.concurrent.CompletableFuture<StoredObject> write) {
        write.whenComplete(
                (object, failure) -> {
                    if (failure instanceof BilberrylaneException e
                            && e.code() != ErrorCode.PLATFORM_CONFLICT) {
                        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                                "write of the seed object failed: %s", failure.getMessage());
                    }
                });
    }

    // -- synchronization

    /** Synchronizes with a few seeds in quick succession after the start. */
    private void startupSync() {
        final long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        final Optional<String> next;
        synchronized (mStartupSync) {
            if (mStopped || mStartupSync.isFinished(ageMillis)) {
                return;
            }
            next = mStartupSync.next(otherSeedAddresses(), ageMillis, mRandom);
        }
        next.ifPresent(this::sync);
        mTransport
                .group()
                .schedule(
                        GuardedTask.of("start-up synchronization", this::startupSync),
                        STARTUP_SYNC_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private List<String> otherSeedAddresses() {
        return mKnownSeeds.stream()
                .map(Seed::address)
                .filter(address -> !address.equals(mOwnAddress))
                .toList();
    }

    private void syncWithRandomPeer() {
        final List<String> addresses = new ArrayList<>();
        mKnownSeeds.forEach(seed -> addresses.add(seed.address()));
        mMembership.members().forEach(member -> addresses.add(member.peerAddress()));
        addresses.removeIf(mOwnAddress::equals);
        if (addresses.isEmpty() || mStopped) {
            return;
        }
        Collections.shuffle(addresses, mRandom);
        sync(addresses.get(0));
    }

    private void sync(final String address) {
        mLinks.request(
                Addresses.parse(address),
                id -> new PeerMessage.SyncRequest(id, mMembership.members()),
                SYNC_TIMEOUT_MILLIS,
                reply -> {
                    if (reply.isPresent() && reply.get() instanceof PeerMessage.SyncReply sync) {
                        synchronized (mStartupSync) {
                            mStartupSync.recordSync(address);
                        }
                        mMembership.merge(sync.members());
                    }
                });
    }

    // -- format

    /** Returns the seeds of an object. Elements that are not seeds are left out. */
    private static List<Seed> readSeeds(final StoredObject object) {
        final List<Seed> seeds = new ArrayList<>();
        for (final JsonNode node : object.spec().path("nodes")) {
            final String host = node.path("host").asText();
            final String address = node.path("address").asText();
            if (!host.isEmpty() && Addresses.isValid(address)) {
                seeds.add(new Seed(host, address));
            } else {
                LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                        "seed object %s has an element that is no seed and was ignored: '%s'",
                        object.name(), Ascii.truncate(node.toString(), MAX_LOGGED_CHARS, "..."));
            }
        }
        return seeds;
    }

    private static JsonNode writeSeeds(final List<Seed> seeds) {
        final ObjectNode root = MAPPER.createObjectNode();
        final ArrayNode nodes = root.putArray("nodes");
        for (final Seed seed : seeds) {
            nodes.addObject().put("host", seed.host()).put("address", seed.address());
        }
        return root;
    }
}
