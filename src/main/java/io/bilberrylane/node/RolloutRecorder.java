package io.bilberrylane.node;

import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RouteCounts;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Records what the gate of this node counts for roll-outs: starts, ends and that it is drained. */
final class RolloutRecorder {
    private final NodeIdentity mIdentity;
    private final RolloutTable mTable;

    RolloutRecorder(final NodeIdentity identity, final RolloutTable table) {
        mIdentity = identity;
        mTable = table;
    }

    /**
     * Counts a call that is about to start, if it may. The bound is checked where the call is
     * counted: calls that leave a queue together must not exceed it.
     *
     * @return false if the target gets no call now
     */
    boolean tryStart(final TargetAnnouncement target, final long nowNanos, final long wallMillis) {
        return mTable.isEmpty()
                || mTable.lock().get(() -> tryStartLocked(target, nowNanos, wallMillis));
    }

    private boolean tryStartLocked(
            final TargetAnnouncement target, final long nowNanos, final long wallMillis) {
        final Optional<RolloutEntry> entry = mTable.entry(target.service());
        if (entry.isPresent() && !entry.get().mayRun(target.version(), nowNanos, wallMillis)) {
            return false;
        }
        entry.filter(each -> each.phase().isOpen()).ifPresent(each -> addStart(each, target));
        return true;
    }

    private void addStart(final RolloutEntry entry, final TargetAnnouncement target) {
        merge(entry, ownRow(entry, target), 1, RolloutRow.NEVER_DRAINED, List.of());
    }

    void recordEnd(
            final TargetAnnouncement target,
            final int route,
            final boolean hasFailed,
            final double serviceMicros) {
        updateOpenEntry(
                target,
                entry -> {
                    final RolloutRow row = ownRow(entry, target);
                    final RouteCounts counts =
                            countsOf(row, route).plusCall(hasFailed, serviceMicros);
                    merge(entry, row, 0, RolloutRow.NEVER_DRAINED, List.of(counts));
                });
    }

    private static RouteCounts countsOf(final RolloutRow row, final int route) {
        for (final RouteCounts counts : row.routes()) {
            if (counts.route() == route) {
                return counts;
            }
        }
        return RouteCounts.none(route);
    }

    /** Runs an action with the lock held if a roll-out of the target's service is open. */
    private void updateOpenEntry(
            final TargetAnnouncement target, final Consumer<RolloutEntry> action) {
        if (!mTable.isEmpty()) {
            mTable.lock().run(() -> openEntry(target).ifPresent(action));
        }
    }

    private Optional<RolloutEntry> openEntry(final TargetAnnouncement target) {
        return mTable.entry(target.service()).filter(entry -> entry.phase().isOpen());
    }

    private static void merge(
            final RolloutEntry entry,
            final RolloutRow row,
            final long starts,
            final long drainedFor,
            final List<RouteCounts> counts) {
        entry.rollout()
                .ledger()
                .merge(
                        new RolloutRow(
                                row.service(),
                                row.host(),
                                row.nodeIncarnation(),
                                row.targetIncarnation(),
                                row.version(),
                                row.started() + starts,
                                drainedFor,
                                counts));
    }

    private RolloutRow ownRow(final RolloutEntry entry, final TargetAnnouncement target) {
        final RolloutRow empty = emptyRow(target);
        return entry.rollout().ledger().row(empty.key()).orElse(empty);
    }

    private RolloutRow emptyRow(final TargetAnnouncement target) {
        return RolloutRow.empty(
                target.service(),
                mIdentity.host(),
                mIdentity.incarnation(),
                target.incarnation(),
                target.version());
    }

    // -- drained gates

    /** Returns whether the gate has told other nodes that it is drained; with the lock held. */
    boolean hasDrained(final RolloutEntry entry, final TargetAnnouncement target) {
        return ownRow(entry, target).drainedFor() >= entry.rollout().generation();
    }

    /**
     * Returns the roll-outs for which the gate admits no call to a target of another version. The
     * calls in service must be looked at after this, not before.
     */
    Set<String> closedFor() {
        return mTable.lock().get(this::closedForLocked);
    }

    private Set<String> closedForLocked() {
        final Set<String> closed = new HashSet<>();
        for (final RolloutEntry entry : mTable.entries()) {
            if (entry.phase() == RolloutPhase.MOVED) {
                closed.add(key(entry));
            }
        }
        return closed;
    }

    private static String key(final RolloutEntry entry) {
        return entry.service() + "/" + entry.version() + "/" + entry.rollout().generation();
    }

    /**
     * Records the targets of this node, and those that are drained; with the lock held.
     *
     * @param present the target beside the node
     * @param busy the targets with calls, also those that were withdrawn or replaced
     * @param closed the roll-outs for which the gate was closed before
     */
    void recordTargets(
            final Optional<TargetAnnouncement> present,
            final Collection<TargetAnnouncement> busy,
            final Set<String> closed) {
        final Set<String> busyRows = new HashSet<>();
        for (final TargetAnnouncement target : busy) {
            busyRows.add(emptyRow(target).key());
            openEntry(target).ifPresent(entry -> addRow(entry, target));
        }
        present.ifPresent(target -> openEntry(target).ifPresent(entry -> addRow(entry, target)));
        for (final RolloutEntry entry : mTable.entries()) {
            if (entry.phase() == RolloutPhase.MOVED && closed.contains(key(entry))) {
                recordDrained(entry, busyRows);
            }
        }
    }

    private void addRow(final RolloutEntry entry, final TargetAnnouncement target) {
        entry.rollout().ledger().merge(emptyRow(target));
    }

    private void recordDrained(final RolloutEntry entry, final Set<String> busyRows) {
        for (final RolloutRow row : entry.rollout().ledger().rowsOfOthers(entry.version())) {
            final boolean isOwn =
                    row.host().equals(mIdentity.host())
                            && row.nodeIncarnation() == mIdentity.incarnation();
            if (isOwn && !busyRows.contains(row.key())) {
                merge(entry, row, 0, entry.rollout().generation(), List.of());
            }
        }
    }
}
