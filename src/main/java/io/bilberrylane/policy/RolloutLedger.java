package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The rows of all gates of a service, as far as a node knows them. Not thread-safe. */
public final class RolloutLedger {
    /** Bounds the memory; a row takes about 1 KB with four routes. */
    private static final int MAX_ROWS = 4_096;

    /** A row that was sent so often without a change is left out of further messages. */
    private static final int MAX_SENDS = 8;

    private static final class Entry {
        private RolloutRow mRow;
        private int mSends;

        private Entry(final RolloutRow row) {
            mRow = row;
        }
    }

    private final Map<String, Entry> mRows = new LinkedHashMap<>();

    /**
     * Adds a row or a newer state of one.
     *
     * @param row the row
     */
    public void merge(final RolloutRow row) {
        final Entry known = mRows.get(row.key());
        if (known == null) {
            if (mRows.size() < MAX_ROWS) {
                mRows.put(row.key(), new Entry(row));
            }
            return;
        }
        final RolloutRow merged = known.mRow.newest(row);
        if (!merged.equals(known.mRow)) {
            known.mRow = merged;
            known.mSends = 0;
        }
    }

    /**
     * Returns a row.
     *
     * @param key the key of the row
     * @return the row, or empty if it is not known
     */
    public Optional<RolloutRow> row(final String key) {
        return Optional.ofNullable(mRows.get(key)).map(entry -> entry.mRow);
    }

    /**
     * Returns the rows of all versions but one.
     *
     * @param version the version that is left out
     * @return the rows
     */
    public List<RolloutRow> rowsOfOthers(final String version) {
        final List<RolloutRow> rows = new ArrayList<>();
        for (final Entry entry : mRows.values()) {
            if (!entry.mRow.version().equals(version)) {
                rows.add(entry.mRow);
            }
        }
        return rows;
    }

    /**
     * Returns the rows that were sent least often and counts them as sent. Rows that were sent
     * often fill the rest of a message, since a node that was out of reach lacks them.
     *
     * @param limit the maximum number of rows
     * @param firstVersion the version whose rows go first
     * @return the rows, those first that have not been sent often since their last change
     */
    public List<RolloutRow> takeForMessage(final int limit, final String firstVersion) {
        final List<Entry> chosen = new ArrayList<>(mRows.values());
        chosen.sort(
                Comparator.<Entry>comparingInt(entry -> urgency(entry, firstVersion))
                        .thenComparingInt(entry -> entry.mSends));
        final List<RolloutRow> rows = new ArrayList<>();
        for (final Entry entry : chosen.subList(0, Math.min(limit, chosen.size()))) {
            entry.mSends++;
            rows.add(entry.mRow);
        }
        return rows;
    }

    /**
     * Returns the position of a row in a message. While all calls go to the new version, its rows
     * change all the time, and those of drained gates must not wait for them.
     */
    private static int urgency(final Entry entry, final String firstVersion) {
        if (entry.mSends >= MAX_SENDS) {
            return 3;
        }
        if (entry.mRow.drainedFor() != RolloutRow.NEVER_DRAINED) {
            return 0;
        }
        return entry.mRow.version().equals(firstVersion) ? 1 : 2;
    }

    /**
     * Returns the sums over the gates of one version, or of all others.
     *
     * @param version the version
     * @param ofVersion whether that version is summed, or all others
     * @return the counts by route
     */
    public Map<Integer, RouteCounts> totals(final String version, final boolean ofVersion) {
        final Map<Integer, RouteCounts> totals = new TreeMap<>();
        for (final Entry entry : mRows.values()) {
            if (entry.mRow.version().equals(version) == ofVersion) {
                entry.mRow
                        .routes()
                        .forEach(counts -> totals.merge(counts.route(), counts, RouteCounts::plus));
            }
        }
        return totals;
    }

    /**
     * Returns how many calls the gates of all versions have started.
     *
     * @return the calls
     */
    long started() {
        return startedByVersion().values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns how many calls the gates of one version have started.
     *
     * @param version the version
     * @return the calls
     */
    long started(final String version) {
        return startedByVersion().getOrDefault(version, 0L);
    }

    /**
     * Returns how many calls the gates of each version have let in.
     *
     * @return the counts by version
     */
    public Map<String, Long> startedByVersion() {
        final Map<String, Long> started = new HashMap<>();
        mRows.values()
                .forEach(
                        entry ->
                                started.merge(
                                        entry.mRow.version(), entry.mRow.started(), Long::sum));
        return started;
    }
}
