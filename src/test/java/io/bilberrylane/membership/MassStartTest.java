package io.bilberrylane.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.peer.GossipCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * All nodes of a fleet start at once, as after a loss of power, and find each other through a few
 * seeds. Replayed in virtual time on a lossless network.
 */
final class MassStartTest {
    private static final int NODES = 95;
    private static final int SEEDS = 10;
    private static final long TICK_NANOS = 100_000_000L;
    private static final long START_SPREAD_NANOS = 1_000_000_000L;
    private static final long KNOWN_WITHIN_NANOS = 2_000_000_000L;

    /** A node may spend 22 KB/s on control, for the three seconds of this replay. */
    private static final long MAX_BYTES_PER_NODE = 3 * 22_000L;

    private final List<MemberTable> mTables = new ArrayList<>();
    private final List<Swim> mSwims = new ArrayList<>();
    private final Map<String, Integer> mIndexByAddress = new HashMap<>();
    private final List<StartupSync> mSyncs = new ArrayList<>();
    private final long[] mStartNanos = new long[NODES];
    private final Random mRandom = new Random(95);
    private long mNowNanos;
    private long mSentBytes;
    private long mSyncBytes;

    private static Member member(final int number) {
        return new Member(
                "sidecar-" + number,
                "data-centre-" + number % 5,
                "10.0.0." + number + ":7600",
                1_790_000_000_000L + number,
                1,
                MemberStatus.ALIVE,
                Optional.of(
                        new TargetRecord("service-" + number % 3, 1_790_000_000_000L, 6, true)));
    }

    private void start() {
        for (int i = 0; i < NODES; i++) {
            final MemberTable table = MemberTable.of(SwimSettings.DEFAULT, member(i), 0);
            mTables.add(table);
            mSwims.add(Swim.of(SwimSettings.DEFAULT, table, new Random(i)));
            mSyncs.add(StartupSync.create());
            mIndexByAddress.put(member(i).peerAddress(), i);
            mStartNanos[i] = (long) (mRandom.nextDouble() * START_SPREAD_NANOS);
        }
    }

    private boolean isUp(final int node) {
        return mNowNanos >= mStartNanos[node];
    }

    private void deliver(final List<OutgoingDatagram> datagrams) {
        final Deque<OutgoingDatagram> pending = new ArrayDeque<>(datagrams);
        while (!pending.isEmpty()) {
            final OutgoingDatagram datagram = pending.pollFirst();
            mSentBytes += GossipCodec.encode(datagram.message()).length;
            final int receiver = mIndexByAddress.get(datagram.peerAddress());
            if (isUp(receiver)) {
                pending.addAll(mSwims.get(receiver).receive(datagram.message(), mNowNanos));
            }
        }
    }

    /**
     * Exchanges the whole member tables of two nodes, each of which announces itself to new ones.
     */
    private void synchronize(final int node, final int seed) {
        if (!isUp(seed)) {
            return;
        }
        mSyncs.get(node).recordSync(member(seed).peerAddress());
        final List<Member> sent = mTables.get(node).members();
        final List<Member> returned = mTables.get(seed).members();
        mSyncBytes += encodedBytes(sent) + encodedBytes(returned);
        mSwims.get(seed).mergeTable(sent, mNowNanos);
        mSwims.get(node).mergeTable(returned, mNowNanos);
    }

    private static long encodedBytes(final List<Member> members) {
        return GossipCodec.encode(new SwimMessage.Ping("", 1, ConfigurationVersion.NONE, members))
                .length;
    }

    private void startupSync(final int node) {
        final List<String> seeds = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            if (seed != node) {
                seeds.add(member(seed).peerAddress());
            }
        }
        final long ageMillis = (mNowNanos - mStartNanos[node]) / 1_000_000;
        mSyncs.get(node)
                .next(seeds, ageMillis, mRandom)
                .ifPresent(address -> synchronize(node, mIndexByAddress.get(address)));
    }

    private boolean knowAll() {
        return mTables.stream().allMatch(table -> table.presentCount() == NODES);
    }

    @Test
    void shouldKnowAllMembersSoonAndWithBoundedTraffic() {
        start();
        long knownNanos = 0;
        while (mNowNanos < START_SPREAD_NANOS + KNOWN_WITHIN_NANOS) {
            mNowNanos += TICK_NANOS;
            for (int i = 0; i < NODES; i++) {
                if (isUp(i)) {
                    startupSync(i);
                    deliver(mSwims.get(i).tick(mNowNanos));
                }
            }
            if (knownNanos == 0 && knowAll()) {
                knownNanos = mNowNanos;
            }
        }
        assertThat(knownNanos).as("all members known after, in ns").isPositive();
        assertThat((mSentBytes + mSyncBytes) / NODES).isLessThanOrEqualTo(MAX_BYTES_PER_NODE);
    }
}
