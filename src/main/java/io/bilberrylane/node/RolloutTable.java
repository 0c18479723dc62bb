package io.bilberrylane.node;

import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutSettings;
import io.bilberrylane.policy.RolloutSummary;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** The roll-outs that this node knows, by service. Entries are guarded by the table's lock. */
final class RolloutTable {
    private final RankedLock mLock = RankedLock.of(LockRank.ROLLOUT);
    private final Optional<RolloutSettings> mSettings;
    private final Random mRandom;
    private final Map<String, RolloutEntry> mEntries = new HashMap<>();
    private volatile boolean mIsEmpty = true;
    private long mRevision;

    RolloutTable(final Optional<RolloutSettings> settings, final Random random) {
        mSettings = settings;
        mRandom = random;
    }

    RankedLock lock() {
        return mLock;
    }

    /** Returns whether the node takes part in roll-outs. */
    boolean isEnabled() {
        return mSettings.isPresent();
    }

    /** Returns whether no roll-out is known, without the lock. */
    boolean isEmpty() {
        return mIsEmpty;
    }

    /** Returns the roll-out of a service; to be called with the lock held. */
    Optional<RolloutEntry> entry(final String service) {
        return Optional.ofNullable(mEntries.get(service));
    }

    /** Returns all roll-outs; to be called with the lock held. */
    Collection<RolloutEntry> entries() {
        return mEntries.values();
    }

    /** Removes the roll-outs whose order is gone and whose version no target has any more. */
    void removeWithdrawn(final RolloutFleet fleet) {
        mEntries.values().removeIf(entry -> entry.isWithdrawn() && !fleet.hasVersion(entry));
        mIsEmpty = mEntries.isEmpty();
    }

    // -- orders

    /** Takes over all orders that the platform holds, as of a revision. */
    void replaceOrders(
            final long revision,
            final Map<String, RolloutOrder> orders,
            final Set<String> versions) {
        mLock.run(
                () -> {
                    if (revision <= mRevision) {
                        return;
                    }
                    final boolean isFirst = mRevision == 0;
                    mRevision = revision;
                    withdrawMissing(orders.keySet());
                    orders.values().forEach(order -> apply(order, isFirst, versions));
                    mIsEmpty = mEntries.isEmpty();
                });
    }

    /** Takes over a later state of one order. */
    void updateOrder(final RolloutOrder order, final Set<String> versions) {
        mLock.run(() -> apply(order, false, versions));
    }

    private void withdrawMissing(final Set<String> services) {
        mEntries.values()
                .removeIf(
                        entry ->
                                !services.contains(entry.service())
                                        && entry.phase() == RolloutPhase.COMPLETED);
        mEntries.values().stream()
                .filter(entry -> !services.contains(entry.service()))
                .forEach(RolloutEntry::withdraw);
    }

    private void apply(
            final RolloutOrder order, final boolean isFirst, final Set<String> versions) {
        final long nowNanos = System.nanoTime();
        final RolloutEntry known = mEntries.get(order.service());
        if (known == null
                || known.rollout().isSupersededBy(order)
                || known.isWithdrawn() && order.revision() > known.rollout().order().revision()) {
            // A process that finds the order at its start cannot know whether it was stopped since.
            final boolean isSeenFromStart = !isFirst && order.state() == RolloutState.PENDING;
            begin(order, isSeenFromStart, known);
            return;
        }
        final boolean wasComplete = known.phase() == RolloutPhase.COMPLETED;
        if (known.rollout().order().state() != order.state()) {
            // The state may be that of a later order; other nodes tell.
            known.endLease(nowNanos);
        }
        known.rollout().update(order);
        if (!wasComplete && known.phase() == RolloutPhase.COMPLETED) {
            known.complete(versions, nowNanos);
        }
    }

    private void begin(
            final RolloutOrder order, final boolean isSeenFromStart, final RolloutEntry earlier) {
        final RolloutEntry entry =
                new RolloutEntry(
                        order,
                        mSettings.orElseThrow(),
                        isSeenFromStart,
                        mRandom.nextDouble(),
                        System.nanoTime(),
                        System.currentTimeMillis());
        if (earlier != null) {
            entry.blockStopped(earlier);
        }
        mEntries.put(order.service(), entry);
    }

    // -- exchange

    /**
     * Takes over what another node knows; to be called with the lock held.
     *
     * @return whether the other node has the same order
     */
    boolean merge(final RolloutSummary summary, final long nowNanos) {
        final RolloutEntry known = mEntries.get(summary.service());
        if (known == null) {
            return false;
        }
        if (known.rollout().isOutdatedBy(summary)) {
            begin(known.rollout().order(), false, known);
        }
        return mEntries.get(summary.service()).rollout().merge(summary, nowNanos);
    }
}
