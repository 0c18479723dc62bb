package io.bilberrylane.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * All members that a node knows, including itself, and the records that it still has to gossip. An
 * older record never replaces a newer one. Not thread-safe.
 */
public final class MemberTable {
    private static final class Entry {
        private Member mMember;
        private long mChangedNanos;
        private int mTransmissions;
    }

    private final SwimSettings mSettings;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private Member mSelf;
    private long mRefutationCount;
    private long mChangeCount;

    private MemberTable(final SwimSettings settings, final Member self) {
        mSettings = settings;
        mSelf = self;
    }

    /**
     * Returns a table that contains only the local node.
     *
     * @param settings the protocol settings
     * @param self the local node's record
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the table
     */
    public static MemberTable of(
            final SwimSettings settings, final Member self, final long nowNanos) {
        final MemberTable table = new MemberTable(settings, self);
        table.store(Objects.requireNonNull(self, "self is null"), nowNanos);
        return table;
    }

    // -- queries

    /**
     * Returns the local node's record.
     *
     * @return the newest record
     */
    public Member self() {
        return mSelf;
    }

    /**
     * Returns all records.
     *
     * @return a copy, including dead members
     */
    public List<Member> members() {
        return mEntries.values().stream().map(entry -> entry.mMember).toList();
    }

    /**
     * Returns the record of a host.
     *
     * @param host the host name
     * @return the record, or empty if the host is unknown
     */
    public Optional<Member> member(final String host) {
        return Optional.ofNullable(mEntries.get(host)).map(entry -> entry.mMember);
    }

    /**
     * Returns the number of members that may serve calls, including the local node.
     *
     * @return at least 1 while the local node is present
     */
    public int presentCount() {
        return (int) mEntries.values().stream().filter(e -> e.mMember.isPresent()).count();
    }

    /**
     * Returns how often the local node refuted a record of itself with another status, such as a
     * suspicion.
     *
     * @return a count that only increases
     */
    public long refutationCount() {
        return mRefutationCount;
    }

    /**
     * Returns how often a record was stored or removed.
     *
     * @return a count that only increases; an unchanged count means unchanged records
     */
    public long changeCount() {
        return mChangeCount;
    }

    // -- changes

    /**
     * Replaces the local node's record and queues it for gossip.
     *
     * @param changed the new record; its revision is replaced by the next one
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     */
    public void updateSelf(final Member changed, final long nowNanos) {
        mSelf = changed.withRevision(mSelf.revision() + 1);
        store(mSelf, nowNanos);
    }

    /**
     * Merges the records received from another node and refutes outdated ones of the local node.
     *
     * @param updates the received records
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the records of other nodes that were newer and have been stored
     */
    public List<Member> merge(final Collection<Member> updates, final long nowNanos) {
        final List<Member> accepted = new ArrayList<>();
        for (final Member update : updates) {
            if (update.host().equals(mSelf.host())) {
                refuteIfContradicted(update, nowNanos);
            } else if (isNewer(update)) {
                store(update, nowNanos);
                accepted.add(update);
            }
        }
        return accepted;
    }

    /**
     * Declares every suspect dead whose suspicion timeout has expired, and removes members that
     * have been dead or have left for at least the retention time.
     *
     * @param suspicionNanos the time that a suspect has to refute, in nanoseconds
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the members that were declared dead
     */
    public List<Member> expire(final long suspicionNanos, final long nowNanos) {
        final List<Member> dead = new ArrayList<>();
        for (final Entry entry : List.copyOf(mEntries.values())) {
            final long ageNanos = nowNanos - entry.mChangedNanos;
            if (entry.mMember.status() == MemberStatus.SUSPECT && ageNanos >= suspicionNanos) {
                final Member member = entry.mMember.withStatus(MemberStatus.DEAD);
                store(member, nowNanos);
                dead.add(member);
            } else if (!entry.mMember.isPresent() && ageNanos >= mSettings.deadRetentionNanos()) {
                mEntries.remove(entry.mMember.host());
                mChangeCount++;
            }
        }
        return dead;
    }

    /**
     * Restarts the suspicion timeout of every suspect, after the local node itself was paused.
     *
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     */
    public void restartSuspicions(final long nowNanos) {
        mEntries.values().stream()
                .filter(entry -> entry.mMember.status() == MemberStatus.SUSPECT)
                .forEach(entry -> entry.mChangedNanos = nowNanos);
    }

    /**
     * Returns the records to gossip next, those transmitted least often first, and counts the
     * transmission.
     *
     * @return at most as many records as one datagram carries
     */
    public List<Member> takeUpdates() {
        final int maxTransmissions =
                (int) Math.ceil(mSettings.retransmitFactor() * Math.log(mEntries.size() + 1.0)) + 1;
        final List<Entry> due =
                mEntries.values().stream()
                        .filter(entry -> entry.mTransmissions < maxTransmissions)
                        .sorted(Comparator.comparingInt(entry -> entry.mTransmissions))
                        .limit(mSettings.updatesPerMessage())
                        .toList();
        due.forEach(entry -> entry.mTransmissions++);
        return due.stream().map(entry -> entry.mMember).toList();
    }

    // -- records

    private boolean isNewer(final Member update) {
        final Entry known = mEntries.get(update.host());
        return known == null ? update.isPresent() : update.supersedes(known.mMember);
    }

    private void refuteIfContradicted(final Member update, final long nowNanos) {
        final boolean contradicted =
                update.incarnation() == mSelf.incarnation()
                        && update.revision() >= mSelf.revision()
                        && update.status() != mSelf.status();
        if (contradicted) {
            mRefutationCount++;
            mSelf = mSelf.withRevision(update.revision() + 1);
            store(mSelf, nowNanos);
        }
    }

    private void store(final Member member, final long nowNanos) {
        final Entry entry = mEntries.computeIfAbsent(member.host(), host -> new Entry());
        entry.mMember = member;
        entry.mChangedNanos = nowNanos;
        entry.mTransmissions = 0;
        mChangeCount++;
    }
}
