package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What one ingress knows of targets: their last told load, corrected by the calls it has sent
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
     * Returns a table that knows nothing.
     *
     * @return an empty table
     */
    public static LoadTable empty() {
        return new LoadTable();
    }

    // -- changes

    /**
     * A call was sent to a target.
     *
     * @param host the target's host
     */
    public void recordSent(final String host) {
        entry(host).mOutstanding++;
    }

    /**
     * A call at a target is over.
     *
     * @param host the target's host
     */
    public void recordCompletion(final String host) {
        final Entry entry = entry(host);
        entry.mOutstanding = Math.max(0, entry.mOutstanding - 1);
        entry.mOutstandingAtReport = Math.min(entry.mOutstandingAtReport, entry.mOutstanding);
    }

    /**
     * A target's gate told its load, in an answer to a call.
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
     * Forgets a target.
     *
     * @param host the target's host
     */
    public void forget(final String host) {
        mEntries.remove(host);
    }

    // -- queries

    /**
     * Returns the last told load of a target, with the calls sent since.
     *
     * @param host the target's host
     * @return an estimate, or nothing when the target never told
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
     * Returns the age of the last told load.
     *
     * @param host the target's host
     * @param nowNanos the monotonic clock
     * @return nanoseconds; the largest value when the target never told
     */
    public long ageNanos(final String host, final long nowNanos) {
        final Entry entry = mEntries.get(host);
        return entry == null || entry.mLoad == null
                ? Long.MAX_VALUE
                : nowNanos - entry.mReportedNanos;
    }

    /**
     * Returns how long a call of a route takes at a target.
     *
     * @param host the target's host
     * @param route the route
     * @return microseconds at normal speed, as the target's gate told; 0 when it never did
     */
    public long serviceMicros(final String host, final int route) {
        final Entry entry = mEntries.get(host);
        return entry == null ? 0 : entry.mServiceMicros.getOrDefault(route, 0L);
    }

    /**
     * Returns the mean time that targets tell for calls of a route.
     *
     * @param candidates the targets
     * @param route the route
     * @return microseconds at normal speed, or nothing when none told
     */
    public OptionalDouble meanServiceMicros(final List<Candidate> candidates, final int route) {
        return candidates.stream()
                .mapToLong(candidate -> serviceMicros(candidate.host(), route))
                .filter(micros -> micros > 0)
                .average();
    }

    /**
     * Returns the last told speed of a target.
     *
     * @param host the target's host
     * @return how long work takes there, in percent of normal
     */
    public int speedPercent(final String host) {
        final Entry entry = mEntries.get(host);
        return entry == null || entry.mLoad == null
                ? TargetLoad.NORMAL_SPEED_PERCENT
                : entry.mLoad.speedPercent();
    }

    /**
     * Returns the calls sent to a target that are not over.
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
