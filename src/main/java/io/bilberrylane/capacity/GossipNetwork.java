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

/** Many membership detectors in one process, over a network without loss, in virtual time. */
final class GossipNetwork {
    private static final long TICK_NANOS = 100_000_000L;
    private static final int DATAGRAM_HEADER_BYTES = 28;

    private final List<Swim> mSwims = new ArrayList<>();
    private final List<MemberTable> mTables = new ArrayList<>();
    private final Map<String, Integer> mIndex = new HashMap<>();
    private final long[] mVersions;
    private final long[] mOffsets;
    private final long[] mNextTickNanos;
    private long mNowNanos;
    private long mBytes;

    GossipNetwork(final int size, final long seed) {
        final Random random = new Random(seed);
        final List<Member> members = new ArrayList<>();
        mVersions = new long[size];
        mOffsets = new long[size];
        mNextTickNanos = new long[size];
        for (int i = 0; i < size; i++) {
            members.add(member(i));
            mIndex.put(members.get(i).peerAddress(), i);
            mOffsets[i] = (long) (random.nextDouble() * TICK_NANOS * 5);
            mNextTickNanos[i] = mOffsets[i];
        }
        for (int i = 0; i < size; i++) {
            final MemberTable table = MemberTable.of(SwimSettings.DEFAULT, members.get(i), 0);
            table.merge(members, 0);
            while (!table.takeUpdates().isEmpty()) {
                // The join is over: nothing is left to pass on.
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
        final long end = mNowNanos + (long) (seconds * 1e9);
        while (mNowNanos < end) {
            mNowNanos += TICK_NANOS;
            for (int i = 0; i < mSwims.size(); i++) {
                if (mNowNanos >= mNextTickNanos[i]) {
                    mNextTickNanos[i] = mNowNanos + TICK_NANOS;
                    deliver(mSwims.get(i).tick(mNowNanos));
                }
            }
        }
    }

    private void deliver(final List<OutgoingDatagram> first) {
        final Deque<OutgoingDatagram> wire = new ArrayDeque<>(first);
        while (!wire.isEmpty()) {
            final OutgoingDatagram outgoing = wire.pollFirst();
            final SwimMessage message = outgoing.message();
            mBytes += GossipCodec.encode(message).length + DATAGRAM_HEADER_BYTES;
            final int to = mIndex.get(outgoing.peerAddress());
            learn(to, message.configurationVersion().catalogue());
            wire.addAll(mSwims.get(to).receive(message, mNowNanos));
        }
    }

    // -- configuration

    private void learn(final int node, final long version) {
        if (version > mVersions[node]) {
            mVersions[node] = version;
            mSwims.get(node).updateConfigurationVersion(new ConfigurationVersion(version, 0));
        }
    }

    /** Tells one node of a version and returns the seconds until every node knows it. */
    double secondsToSpread(final long version) {
        final long start = mNowNanos;
        learn(0, version);
        while (!knowsEverywhere(version)) {
            run(0.1);
        }
        return (mNowNanos - start) / 1e9;
    }

    private boolean knowsEverywhere(final long version) {
        for (final long known : mVersions) {
            if (known < version) {
                return false;
            }
        }
        return true;
    }

    /** Changes one member's record, as a restart does, and returns the bytes that it took. */
    long bytesOfOneChange(final double seconds) {
        final long quiet = bytesOver(seconds);
        final MemberTable table = mTables.get(0);
        table.updateSelf(table.self(), mNowNanos);
        return bytesOver(seconds) - quiet;
    }

    /** Returns the bytes that all nodes send in a time. */
    long bytesOver(final double seconds) {
        final long before = mBytes;
        run(seconds);
        return mBytes - before;
    }
}
