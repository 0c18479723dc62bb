package io.bilberrylane.capacity;

import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.MemberTable;
import io.bilberrylane.membership.OutgoingDatagram;
import io.bilberrylane.membership.Swim;
import io.bilberrylane.membership.SwimMessage;
import io.bilberrylane.membership.SwimSettings;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.peer.GossipCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Runs many membership detectors in one process, on a lossless network in virtual time. */
final class GossipNetwork {
    private static final long TICK_NANOS = 100_000_000L;
    private static final int DATAGRAM_HEADER_BYTES = 28;

    private final List<Swim> mSwims = new ArrayList<>();
    private final List<MemberTable> mTables = new ArrayList<>();
    private final Map<String, Integer> mIndexByAddress = new HashMap<>();
    private final long[] mKnownVersions;
    private final long[] mOffsetsNanos;
    private final long[] mNextTickNanos;
    private long mNowNanos;
    private long mSentBytes;

    GossipNetwork(final int size, final long seed) {
        final Random random = new Random(seed);
        final List<Member> members = new ArrayList<>();
        mKnownVersions = new long[size];
        mOffsetsNanos = new long[size];
        mNextTickNanos = new long[size];
        for (int i = 0; i < size; i++) {
            members.add(member(i));
            mIndexByAddress.put(members.get(i).peerAddress(), i);
            mOffsetsNanos[i] = (long) (random.nextDouble() * TICK_NANOS * 5);
            mNextTickNanos[i] = mOffsetsNanos[i];
        }
        for (int i = 0; i < size; i++) {
            final MemberTable table = MemberTable.of(SwimSettings.DEFAULT, members.get(i), 0);
            table.merge(members, 0);
            while (!table.takeUpdates().isEmpty()) {
                // Discards the updates of the initial merge: the join is over and nothing is left
                // to gossip.
            }
            mTables.add(table);
            mSwims.add(Swim.of(SwimSettings.DEFAULT, table, new Random(seed + i)));
        }
    }

    static Member member(final int number) {
        return new Member(
                "host-" + number,
                "data-centre-" + number % 26,
                "10.0." + number / 250 + "." + number % 250 + ":7002",
                1_790_000_000_000L + number,
                1,
                MemberStatus.ALIVE,
                Optional.of(
                        new TargetRecord("service-" + number % 410, 1_790_000_000_000L, 6, true)));
    }

    // -- time

    void run(final double seconds) {
        final long endNanos = mNowNanos + (long) (seconds * 1e9);
        while (mNowNanos < endNanos) {
            mNowNanos += TICK_NANOS;
            for (int i = 0; i < mSwims.size(); i++) {
                if (mNowNanos >= mNextTickNanos[i]) {
                    mNextTickNanos[i] = mNowNanos + TICK_NANOS;
                    deliver(mSwims.get(i).tick(mNowNanos));
                }
            }
        }
    }

    private void deliver(final List<OutgoingDatagram> datagrams) {
        final Deque<OutgoingDatagram> pending = new ArrayDeque<>(datagrams);
        while (!pending.isEmpty()) {
            final OutgoingDatagram datagram = pending.pollFirst();
            final SwimMessage message = datagram.message();
            mSentBytes += GossipCodec.encode(message).length + DATAGRAM_HEADER_BYTES;
            final int receiver = mIndexByAddress.get(datagram.peerAddress());
            updateVersion(receiver, message.configurationVersion().catalogue());
            pending.addAll(mSwims.get(receiver).receive(message, mNowNanos));
        }
    }

    // -- configuration

    private void updateVersion(final int node, final long version) {
        if (version > mKnownVersions[node]) {
            mKnownVersions[node] = version;
            mSwims.get(node).updateConfigurationVersion(new ConfigurationVersion(version, 0));
        }
    }

    /** Updates one node to a version and returns the seconds until every node knows it. */
    double secondsToSpread(final long version) {
        final long startNanos = mNowNanos;
        updateVersion(0, version);
        while (!isKnownEverywhere(version)) {
            run(0.1);
        }
        return (mNowNanos - startNanos) / 1e9;
    }

    private boolean isKnownEverywhere(final long version) {
        for (final long known : mKnownVersions) {
            if (known < version) {
                return false;
            }
        }
        return true;
    }

    /**
     * Changes the record of one member, as a restart does.
     *
     * @return the bytes sent beyond those of an idle period of the same length
     */
    long bytesOfOneChange(final double seconds) {
        final long idleBytes = bytesSentDuring(seconds);
        final MemberTable table = mTables.get(0);
        table.updateSelf(table.self(), mNowNanos);
        return bytesSentDuring(seconds) - idleBytes;
    }

    /** Runs the network for a time, in seconds, and returns the bytes that all nodes sent. */
    long bytesSentDuring(final double seconds) {
        final long bytesBefore = mSentBytes;
        run(seconds);
        return mSentBytes - bytesBefore;
    }
}
