package io.bilberrylane.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * SWIM failure detector: pings random members and suspects those that do not respond. The load on
 * each node is constant.
 *
 * <p>A node that misses acks, or that has to refute suspicions against itself, assumes that it is
 * impaired itself and waits longer before it suspects others, like the local health multiplier of
 * Lifeguard. Not thread-safe.
 */
public final class Swim {
    private static final int MAX_LOCAL_HEALTH_MULTIPLIER = 8;
    private static final int PAUSE_PERIODS = 3;

    /** The sequence number of a ping that only announces a record and needs no ack. */
    private static final long NO_ACK_SEQUENCE = 0;

    private static final int ANNOUNCEMENT_ROUNDS = 4;
    private static final int ANNOUNCEMENTS_PER_ROUND = 64;
    private static final long ANNOUNCEMENT_INTERVAL_NANOS = 200_000_000L;

    private final SwimSettings mSettings;
    private final MemberTable mTable;
    private final Random mRandom;
    private final List<String> mPingOrder = new ArrayList<>();
    private final Map<Long, Relay> mRelays = new HashMap<>();
    private final Map<String, ConfigurationVersion> mKnownVersions = new HashMap<>();
    private long mSequence = 1;
    private long mPeriodStartNanos;
    private long mLastTickNanos;
    private boolean mStarted;
    private int mAnnouncementRoundsLeft;
    private final Set<String> mSelfAnnouncementHosts = new HashSet<>();
    private long mLastAnnouncementNanos;
    private String mPingedHost = "";
    private long mPingSequence;
    private boolean mIndirectPingsRequested;
    private int mLocalHealthMultiplier;
    private long mAppliedRefutations;
    private ConfigurationVersion mConfigurationVersion = ConfigurationVersion.NONE;

    private record Relay(String requester, long requesterSequence, long createdNanos) {}

    private Swim(final SwimSettings settings, final MemberTable table, final Random random) {
        mSettings = settings;
        mTable = table;
        mRandom = random;
    }

    /**
     * Returns a detector for a member table.
     *
     * @param settings the protocol settings
     * @param table the members; the detector updates the table
     * @param random selects the members to ping
     * @return a detector that has not sent anything yet
     */
    public static Swim of(
            final SwimSettings settings, final MemberTable table, final Random random) {
        return new Swim(settings, table, random);
    }

    /**
     * Returns the local health multiplier, by which the timeouts of the detector increase.
     *
     * @return 0 if the local node is healthy, at most 8
     */
    public int localHealthMultiplier() {
        return mLocalHealthMultiplier;
    }

    /**
     * Updates the configuration version that every datagram carries. Its revisions never decrease.
     *
     * @param version the version of the local node's active configuration
     */
    public void updateConfigurationVersion(final ConfigurationVersion version) {
        mConfigurationVersion = mConfigurationVersion.newest(version);
    }

    /**
     * Announces a changed configuration to other members with the next tick, and repeats the
     * announcement a few times to members from which the new version has not been received.
     */
    public void announceConfiguration() {
        mAnnouncementRoundsLeft = ANNOUNCEMENT_ROUNDS;
        mLastAnnouncementNanos = 0;
    }

    /** Announces the local node's changed record to all members with the next tick. */
    public void announceSelf() {
        announceSelf(mTable.members());
    }

    /**
     * Announces the local node's record to some members with the next tick.
     *
     * @param members the members that may not know the record yet
     */
    public void announceSelf(final Collection<Member> members) {
        members.forEach(member -> mSelfAnnouncementHosts.add(member.host()));
    }

    /**
     * Merges the member table of another node and announces the local node to members that are new
     * here with the next tick.
     *
     * @param table the records of the other node
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return whether a new member was found
     */
    public boolean mergeTable(final Collection<Member> table, final long nowNanos) {
        final List<Member> newMembers = table.stream().filter(this::isUnknown).toList();
        mTable.merge(table, nowNanos);
        announceSelf(newMembers);
        return !newMembers.isEmpty();
    }

    private boolean isUnknown(final Member member) {
        return member.isPresent()
                && mTable.member(member.host()).filter(Member::isPresent).isEmpty();
    }

    // -- protocol periods

    /**
     * Advances the protocol. Must be called several times in each period.
     *
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the datagrams to send
     */
    public List<OutgoingDatagram> tick(final long nowNanos) {
        final List<OutgoingDatagram> out = new ArrayList<>();
        if (!mStarted || nowNanos - mLastTickNanos > PAUSE_PERIODS * mSettings.periodNanos()) {
            restart(nowNanos);
        }
        mLastTickNanos = nowNanos;
        applyRefutations();
        mTable.expire(suspicionNanos(), nowNanos);
        mRelays.values()
                .removeIf(relay -> nowNanos - relay.createdNanos() > mSettings.periodNanos() * 4);
        sendSelfAnnouncements(out);
        sendConfigurationAnnouncements(nowNanos, out);
        if (nowNanos - mPeriodStartNanos
                >= mSettings.periodNanos() * (1 + mLocalHealthMultiplier / 2)) {
            endPeriod(nowNanos);
            startPeriod(nowNanos, out);
        } else if (needsIndirectPings(nowNanos)) {
            mIndirectPingsRequested = true;
            requestIndirectPings(out);
        }
        return out;
    }

    private void sendSelfAnnouncements(final List<OutgoingDatagram> out) {
        if (!mSelfAnnouncementHosts.isEmpty()) {
            others(member -> member.isPresent() && mSelfAnnouncementHosts.contains(member.host()))
                    .stream()
                    .limit(ANNOUNCEMENTS_PER_ROUND)
                    .forEach(
                            member ->
                                    out.add(ping(member, NO_ACK_SEQUENCE, List.of(mTable.self()))));
            mSelfAnnouncementHosts.clear();
        }
    }

    /** Returns the members other than the local node that match a filter, in random order. */
    private List<Member> others(final Predicate<Member> filter) {
        final List<Member> others =
                new ArrayList<>(
                        mTable.members().stream()
                                .filter(member -> !isSelf(member))
                                .filter(filter)
                                .toList());
        Collections.shuffle(others, mRandom);
        return others;
    }

    private void sendConfigurationAnnouncements(
            final long nowNanos, final List<OutgoingDatagram> out) {
        if (mAnnouncementRoundsLeft == 0
                || mLastAnnouncementNanos != 0
                        && nowNanos - mLastAnnouncementNanos < ANNOUNCEMENT_INTERVAL_NANOS) {
            return;
        }
        mAnnouncementRoundsLeft--;
        mLastAnnouncementNanos = nowNanos;
        others(member -> member.isPresent() && isBehind(member)).stream()
                .limit(ANNOUNCEMENTS_PER_ROUND)
                .forEach(member -> out.add(ping(member, mSequence++)));
    }

    private boolean isBehind(final Member member) {
        return mKnownVersions
                .getOrDefault(member.host(), ConfigurationVersion.NONE)
                .isBehind(mConfigurationVersion);
    }

    private void restart(final long nowNanos) {
        if (mStarted) {
            adjustLocalHealthMultiplier(1);
            mTable.restartSuspicions(nowNanos);
        }
        mStarted = true;
        mPingedHost = "";
        mPeriodStartNanos = nowNanos - mSettings.periodNanos() * (1 + mLocalHealthMultiplier / 2);
    }

    private void endPeriod(final long nowNanos) {
        if (mPingedHost.isEmpty()) {
            return;
        }
        adjustLocalHealthMultiplier(1);
        mTable.member(mPingedHost)
                .filter(member -> member.status() == MemberStatus.ALIVE)
                .ifPresent(
                        member ->
                                mTable.merge(
                                        List.of(member.withStatus(MemberStatus.SUSPECT)),
                                        nowNanos));
        mPingedHost = "";
    }

    private void startPeriod(final long nowNanos, final List<OutgoingDatagram> out) {
        mPeriodStartNanos = nowNanos;
        final Optional<Member> next = nextMemberToPing();
        if (next.isEmpty()) {
            return;
        }
        mPingedHost = next.get().host();
        mPingSequence = mSequence++;
        mIndirectPingsRequested = false;
        out.add(ping(next.get(), mPingSequence));
    }

    private boolean needsIndirectPings(final long nowNanos) {
        return !mPingedHost.isEmpty()
                && !mIndirectPingsRequested
                && nowNanos - mPeriodStartNanos
                        >= mSettings.ackTimeoutNanos() * (1 + mLocalHealthMultiplier / 2);
    }

    private void requestIndirectPings(final List<OutgoingDatagram> out) {
        final List<Member> alive =
                others(
                        member ->
                                member.status() == MemberStatus.ALIVE
                                        && !member.host().equals(mPingedHost));
        for (final Member relay :
                alive.subList(0, Math.min(alive.size(), mSettings.indirectPings()))) {
            out.add(
                    new OutgoingDatagram(
                            relay.peerAddress(),
                            new SwimMessage.PingRequest(
                                    mTable.self().host(),
                                    mPingSequence,
                                    mPingedHost,
                                    mConfigurationVersion,
                                    mTable.takeUpdates())));
        }
    }

    private Optional<Member> nextMemberToPing() {
        for (int tries = 0; tries < 2; tries++) {
            while (!mPingOrder.isEmpty()) {
                final Optional<Member> member =
                        mTable.member(mPingOrder.remove(mPingOrder.size() - 1))
                                .filter(Member::isPresent);
                if (member.isPresent()) {
                    return member;
                }
            }
            mTable.members().stream()
                    .filter(Member::isPresent)
                    .filter(member -> !isSelf(member))
                    .forEach(member -> mPingOrder.add(member.host()));
            Collections.shuffle(mPingOrder, mRandom);
        }
        return Optional.empty();
    }

    // -- messages

    /**
     * Merges the records of a received message and responds to it.
     *
     * @param message the received message
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the datagrams to send
     */
    public List<OutgoingDatagram> receive(final SwimMessage message, final long nowNanos) {
        mTable.merge(message.updates(), nowNanos);
        mKnownVersions.merge(
                message.from(), message.configurationVersion(), ConfigurationVersion::newest);
        return switch (message) {
            case SwimMessage.Ping ping -> onPing(ping);
            case SwimMessage.Ack ack -> onAck(ack);
            case SwimMessage.PingRequest request -> onPingRequest(request, nowNanos);
        };
    }

    private List<OutgoingDatagram> onPing(final SwimMessage.Ping ping) {
        if (ping.sequence() == NO_ACK_SEQUENCE) {
            return List.of();
        }
        return mTable.member(ping.from())
                .map(member -> List.of(ack(member, ping.sequence())))
                .orElse(List.of());
    }

    private List<OutgoingDatagram> onAck(final SwimMessage.Ack ack) {
        if (ack.sequence() == mPingSequence) {
            mPingedHost = "";
            adjustLocalHealthMultiplier(-1);
            return List.of();
        }
        final Relay relay = mRelays.remove(ack.sequence());
        if (relay == null) {
            return List.of();
        }
        return mTable.member(relay.requester())
                .map(requester -> List.of(ack(requester, relay.requesterSequence())))
                .orElse(List.of());
    }

    private List<OutgoingDatagram> onPingRequest(
            final SwimMessage.PingRequest request, final long nowNanos) {
        final Optional<Member> pinged = mTable.member(request.pingedHost());
        if (pinged.isEmpty()) {
            return List.of();
        }
        final long sequence = mSequence++;
        mRelays.put(sequence, new Relay(request.from(), request.sequence(), nowNanos));
        return List.of(ping(pinged.get(), sequence));
    }

    private OutgoingDatagram ping(final Member to, final long sequence) {
        return ping(to, sequence, mTable.takeUpdates());
    }

    private OutgoingDatagram ping(
            final Member to, final long sequence, final List<Member> updates) {
        return new OutgoingDatagram(
                to.peerAddress(),
                new SwimMessage.Ping(
                        mTable.self().host(), sequence, mConfigurationVersion, updates));
    }

    private OutgoingDatagram ack(final Member to, final long sequence) {
        return new OutgoingDatagram(
                to.peerAddress(),
                new SwimMessage.Ack(
                        mTable.self().host(),
                        sequence,
                        mConfigurationVersion,
                        mTable.takeUpdates()));
    }

    // -- local health

    private void applyRefutations() {
        if (mTable.refutationCount() > mAppliedRefutations) {
            mAppliedRefutations = mTable.refutationCount();
            adjustLocalHealthMultiplier(1);
        }
    }

    private void adjustLocalHealthMultiplier(final int change) {
        mLocalHealthMultiplier =
                Math.max(0, Math.min(MAX_LOCAL_HEALTH_MULTIPLIER, mLocalHealthMultiplier + change));
    }

    private long suspicionNanos() {
        final double scale = Math.max(1.0, Math.log10(mTable.members().size() + 1.0));
        return (long)
                (mSettings.suspicionPeriods()
                        * scale
                        * mSettings.periodNanos()
                        * (1 + mLocalHealthMultiplier));
    }

    private boolean isSelf(final Member member) {
        return member.host().equals(mTable.self().host());
    }
}
