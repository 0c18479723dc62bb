package io.bilberrylane.node;

import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutSummary;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reports what this node knows of roll-outs, and takes over what others report. */
final class RolloutSynchronizer {
    private final RolloutTable mTable;

    RolloutSynchronizer(final RolloutTable table) {
        mTable = table;
    }

    /** Returns the roll-outs and the rows that changed lately, for a message. */
    RolloutReport report(final int maxRows) {
        return mTable.lock().get(() -> reportLocked(maxRows));
    }

    private RolloutReport reportLocked(final int maxRows) {
        final List<RolloutSummary> summaries = new ArrayList<>();
        final List<RolloutRow> rows = new ArrayList<>();
        for (final RolloutEntry entry : mTable.entries()) {
            if (entry.phase() != RolloutPhase.COMPLETED) {
                final int limit = Math.max(0, maxRows - rows.size());
                summaries.add(entry.rollout().summary(entry.isKnown(), System.nanoTime()));
                rows.addAll(entry.rollout().ledger().takeForMessage(limit, entry.version()));
            }
        }
        return new RolloutReport(summaries, rows);
    }

    /** Takes over a request and returns the reply to it. */
    PeerMessage.RolloutSyncReply replyTo(final PeerMessage.RolloutSync request) {
        mTable.lock().run(() -> merge(request.summaries(), request.rows()));
        RolloutLog.writePhases(mTable);
        final RolloutReport report = report(RolloutExchange.MAX_ROWS);
        return new PeerMessage.RolloutSyncReply(
                request.requestId(), report.summaries(), report.rows());
    }

    /** Takes over the reply to a request and relies on it from the time of the request. */
    void onReply(
            final PeerMessage.RolloutSyncReply reply,
            final long requestNanos,
            final long requestWallMillis) {
        mTable.lock().run(() -> onReplyLocked(reply, requestNanos, requestWallMillis));
        RolloutLog.writePhases(mTable);
    }

    private void onReplyLocked(
            final PeerMessage.RolloutSyncReply reply,
            final long requestNanos,
            final long requestWallMillis) {
        final Set<String> sameOrders = merge(reply.summaries(), reply.rows());
        for (final RolloutSummary summary : reply.summaries()) {
            final Optional<RolloutEntry> entry = mTable.entry(summary.service());
            if (entry.isEmpty() || !sameOrders.contains(summary.service())) {
                continue;
            }
            if (summary.known()) {
                entry.get().confirm(requestNanos, requestWallMillis);
            } else {
                entry.get().recordUnknownStateReply(System.nanoTime());
            }
        }
    }

    /**
     * Takes over what another node knows of the same orders. Rows of an earlier order of a service
     * say nothing about the present one.
     *
     * @return the services whose order the other node has too
     */
    private Set<String> merge(final List<RolloutSummary> summaries, final List<RolloutRow> rows) {
        final Set<String> sameOrders = new HashSet<>();
        final long nowNanos = System.nanoTime();
        for (final RolloutSummary summary : summaries) {
            if (mTable.merge(summary, nowNanos)) {
                sameOrders.add(summary.service());
            }
        }
        for (final RolloutRow row : rows) {
            if (sameOrders.contains(row.service())) {
                mTable.entry(row.service()).ifPresent(entry -> entry.rollout().ledger().merge(row));
            }
        }
        return sameOrders;
    }
}
