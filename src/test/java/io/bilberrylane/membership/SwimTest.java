package io.bilberrylane.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class SwimTest {
    private static final long TICK_NANOS = 100_000_000L;
    private static final SwimSettings SETTINGS = SwimSettings.DEFAULT;

    /** Detectors in virtual time, connected by a network that loses datagrams and stops nodes. */
    private static final class SimulatedNetwork {
        private final Random mRandom;
        private final Map<String, Swim> mDetectors = new TreeMap<>();
        private final Map<String, MemberTable> mTables = new TreeMap<>();
        private final Set<String> mStopped = new HashSet<>();
        private final List<OutgoingDatagram> mDatagrams = new ArrayList<>();
        private double mLossRate;
        private long mNowNanos;

        SimulatedNetwork(final int size, final long seed) {
            mRandom = new Random(seed);
            for (int i = 0; i < size; i++) {
                final String host = "h" + i;
                final Member self =
                        new Member(host, "dc", host, 1, 1, MemberStatus.ALIVE, Optional.empty());
                final MemberTable table = MemberTable.of(SETTINGS, self, 0);
                mTables.put(host, table);
                mDetectors.put(host, Swim.of(SETTINGS, table, new Random(seed + i)));
                table.merge(List.of(mTables.get("h0").self()), 0);
            }
        }

        void run(final long seconds) {
            final long endNanos = mNowNanos + seconds * 1_000_000_000L;
            while (mNowNanos < endNanos) {
                mNowNanos += TICK_NANOS;
                mDetectors.forEach(
                        (host, detector) -> {
                            if (!mStopped.contains(host)) {
                                mDatagrams.addAll(detector.tick(mNowNanos));
                            }
                        });
                while (!mDatagrams.isEmpty()) {
                    deliver(mDatagrams.remove(0));
                }
            }
        }

        private void deliver(final OutgoingDatagram outgoing) {
            final String to = outgoing.peerAddress();
            if (!mStopped.contains(to) && mRandom.nextDouble() >= mLossRate) {
                mDatagrams.addAll(mDetectors.get(to).receive(outgoing.message(), mNowNanos));
            }
        }

        MemberStatus statusSeenBy(final String observer, final String host) {
            return mTables.get(observer).member(host).map(Member::status).orElse(null);
        }
    }

    @Example
    void shouldKnowEveryMemberWhenOneSeedIsShared() {
        final SimulatedNetwork network = new SimulatedNetwork(20, 1);
        network.run(20);
        network.mTables.values().forEach(table -> assertThat(table.presentCount()).isEqualTo(20));
    }

    /** A target that starts or leaves is known to all nodes at once, not after gossip rounds. */
    @Example
    void shouldAnnounceToAllMembersWithinOneTickWhenTheOwnRecordChanges() {
        final SimulatedNetwork network = new SimulatedNetwork(13, 6);
        network.run(20);
        final MemberTable table = network.mTables.get("h5");
        table.updateSelf(table.self(), network.mNowNanos);
        network.mDetectors.get("h5").announceSelf();
        network.mNowNanos += TICK_NANOS;
        network.mDetectors.get("h5").tick(network.mNowNanos).forEach(network::deliver);
        final long revision = table.self().revision();
        network.mTables.forEach(
                (observer, other) ->
                        assertThat(other.member("h5").orElseThrow().revision())
                                .as(observer)
                                .isEqualTo(revision));
    }

    @Example
    void shouldDeclareAMemberDeadWhenItStops() {
        final SimulatedNetwork network = new SimulatedNetwork(10, 2);
        network.run(10);
        network.mStopped.add("h3");
        network.run(40);
        assertThat(network.statusSeenBy("h0", "h3")).isEqualTo(MemberStatus.DEAD);
        assertThat(network.statusSeenBy("h9", "h3")).isEqualTo(MemberStatus.DEAD);
    }

    @Example
    void shouldReplaceADeadMemberWhenItReturnsWithAnotherIncarnation() {
        final SimulatedNetwork network = new SimulatedNetwork(5, 3);
        network.run(5);
        final MemberTable table = network.mTables.get("h0");
        final Member old = table.member("h1").orElseThrow();
        table.merge(List.of(old.withStatus(MemberStatus.DEAD)), network.mNowNanos);
        final Member restarted =
                new Member("h1", "dc", "h1", 2, 1, MemberStatus.ALIVE, Optional.empty());
        assertThat(table.merge(List.of(restarted), network.mNowNanos)).containsExactly(restarted);
    }

    @Example
    void shouldNotSuspectAnyMemberWhenTheObserverItselfWasPaused() {
        final SimulatedNetwork network = new SimulatedNetwork(6, 4);
        network.run(10);
        final Swim paused = network.mDetectors.get("h0");
        network.mNowNanos += 60_000_000_000L;
        paused.tick(network.mNowNanos);
        network.mTables
                .get("h0")
                .members()
                .forEach(m -> assertThat(m.status()).isEqualTo(MemberStatus.ALIVE));
        assertThat(paused.localHealthMultiplier()).isPositive();
    }

    /** With 10% of the datagrams lost, no live member is permanently declared dead. */
    @Property(seed = "41", tries = 20)
    void shouldKeepLiveMembersWhenDatagramsAreLost(@ForAll final long seed) {
        final SimulatedNetwork network = new SimulatedNetwork(8, seed);
        network.mLossRate = 0.1;
        network.run(60);
        network.mLossRate = 0;
        network.run(20);
        network.mTables.forEach(
                (observer, table) -> assertThat(table.presentCount()).as(observer).isEqualTo(8));
    }

    /** An older record never replaces a newer one, in whatever order the records arrive. */
    @Property(seed = "42", tries = 500)
    void shouldKeepTheNewestRecordWhenRecordsArriveInAnyOrder(@ForAll final long seed) {
        final Random random = new Random(seed);
        final Member self =
                new Member("me", "dc", "me", 1, 1, MemberStatus.ALIVE, Optional.empty());
        final MemberTable table = MemberTable.of(SETTINGS, self, 0);
        Member newest = null;
        for (int i = 0; i < 50; i++) {
            final MemberStatus status =
                    MemberStatus.values()[random.nextInt(MemberStatus.values().length)];
            final Member record =
                    new Member(
                            "x",
                            "dc",
                            "x",
                            random.nextInt(3),
                            random.nextInt(4),
                            status,
                            Optional.empty());
            final boolean newer = newest == null ? record.isPresent() : record.supersedes(newest);
            table.merge(List.of(record), i);
            newest = newer ? record : newest;
            assertThat(table.member("x")).isEqualTo(Optional.ofNullable(newest));
        }
    }
}
