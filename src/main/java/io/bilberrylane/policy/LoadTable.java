package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The loads of targets as known to one ingress: the last reported load, corrected by the calls sent
 * since. Not thread-safe.
 */
public final class LoadTable {
    private static final class Entry {
        private TargetLoad mLoad;
        private long mReportedNanos;
        private int mOutstanding;
        private int mOutstandingAtReport;
        private final Map<Integer, Long> mServiceMicros = new HashMap<>();
    }

    private static final int MAX_ROUTES = 1_024;

    private final Map<String, Entry> mEntries = new HashMap<>();

    private LoadTable() {}

    /**
     * Returns a table without loads.
     *
     * @return an empty table
     */
    public static LoadTable empty() {
        return new LoadTable();
    }

    // -- changes

    /**
     * Records a call that was sent to a target.
     *
     * @param host the target's host
     */
    public void recordSent(final String host) {
        entry(host).mOutstanding++;
    }

    /**
     * Records the end of a call at a target.
     *
     * @param host the target's host
     */
    public void recordCompletion(final String host) {
        final Entry entry = entry(host);
        entry.mOutstanding = Math.max(0, entry.mOutstanding - 1);
        entry.mOutstandingAtReport = Math.min(entry.mOutstandingAtReport, entry.mOutstanding);
    }

    /**
     * Records the load that a target's gate reported in its reply to a call.
     *
     * @param host the target's host
     * @param route the route of the call
     * @param load the load
     * @param nowNanos the monotonic clock
     */
    public void recordLoad(
            final String host, final int route, final TargetLoad load, final long nowNanos) {
        final Entry entry = entry(host);
        if (load.serviceMicros() > 0) {
            if (entry.mServiceMicros.size() >= MAX_ROUTES) {
                entry.mServiceMicros.clear();
            }
            entry.mServiceMicros.put(route, load.serviceMicros());
        }
        entry.mLoad = load;
        entry.mReportedNanos = nowNanos;
        entry.mOutstandingAtReport = entry.mOutstanding;
    }

    /**
     * Removes a target.
     *
     * @param host the target's host
     */
    public void remove(final String host) {
        mEntries.remove(host);
    }

    // -- queries

    /**
     * Returns the last reported load of a target plus the calls sent since.
     *
     * @param host the target's host
     * @return an estimate, or empty if no load was reported
     */
    public Optional<TargetLoad> estimate(final String host) {
        final Entry entry = mEntries.get(host);
        if (entry == null || entry.mLoad == null) {
            return Optional.empty();
        }
        final int sentSince = Math.max(0, entry.mOutstanding - entry.mOutstandingAtReport);
        final TargetLoad load = entry.mLoad;
        return Optional.of(
                new TargetLoad(
                        load.inFlight() + sentSince,
                        load.queued(),
                        load.allowance(),
                        load.serviceMicros(),
                        load.accepting(),
                        load.speedPercent(),
                        load.failurePercent()));
    }

    /**
     * Returns whether a target accepts calls by its last reported load.
     *
     * @param host the target's host
     * @return true also if no load was reported
     */
    public boolean isAccepting(final String host) {
        final Entry entry = mEntries.get(host);
        return entry == null || entry.mLoad == null || entry.mLoad.accepting();
    }

    /**
     * Returns the age of the last reported load.
     *
     * @param host the target's host
     * @param nowNanos the monotonic clock
     * @return nanoseconds; {@link Long#MAX_VALUE} if no load was reported
     */
    public long ageNanos(final String host, final long nowNanos) {
        final Entry entry = mEntries.get(host);
        return entry == null || entry.mLoad == null
                ? Long.MAX_VALUE
                : nowNanos - entry.mReportedNanos;
    }

    /**
     * Returns the service time of a call of a route at a target.
     *
     * @param host the target's host
     * @param route the route
     * @return microseconds at normal speed, as reported by the target's gate; 0 if not reported
     */
    public long serviceMicros(final String host, final int route) {
        final Entry entry = mEntries.get(host);
        return entry == null ? 0 : entry.mServiceMicros.getOrDefault(route, 0L);
    }

    /**
     * Returns the mean of the service times that targets report for calls of a route.
     *
     * @param candidates the targets
     * @param route the route
     * @return microseconds at normal speed, or empty if none was reported
     */
    public OptionalDouble meanServiceMicros(final List<Candidate> candidates, final int route) {
        long totalMicros = 0;
        int reports = 0;
        for (final Candidate candidate : candidates) {
            final long micros = serviceMicros(candidate.host(), route);
            if (micros > 0) {
                totalMicros += micros;
                reports++;
            }
        }
        return reports == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) totalMicros / reports);
    }

    /**
     * Returns the last reported speed of a target.
     *
     * @param host the target's host
     * @return the service time there, in percent of normal; {@link TargetLoad#NORMAL_SPEED_PERCENT}
     *     if no load was reported
     */
    public int speedPercent(final String host) {
        final Entry entry = mEntries.get(host);
        return entry == null || entry.mLoad == null
                ? TargetLoad.NORMAL_SPEED_PERCENT
                : entry.mLoad.speedPercent();
    }

    /**
     * Returns the number of calls sent to a target that have not ended.
     *
     * @param host the target's host
     * @return a count
     */
    public int outstanding(final String host) {
        final Entry entry = mEntries.get(host);
        return entry == null ? 0 : entry.mOutstanding;
    }

    private Entry entry(final String host) {
        return mEntries.computeIfAbsent(host, key -> new Entry());
    }
}
