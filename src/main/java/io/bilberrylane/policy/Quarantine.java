package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Tracks calls that were in service when their targets crashed. A call that was in service during
 * three crashes is refused for a limited time, which doubles if it is in service during another
 * crash afterwards. A call that was in service by coincidence is not refused, since it is not sent
 * again. Not thread-safe.
 */
public final class Quarantine {
    private static final int CRASH_LIMIT = 3;
    private static final long RETENTION_NANOS = 30_000_000_000L;
    private static final long MIN_BLOCK_NANOS = 20_000_000_000L;
    private static final int MAX_BLOCK_DOUBLINGS = 5;
    private static final int MAX_CALLS = 4_096;

    private static final class CrashRecord {
        private final Set<String> mProcesses = new HashSet<>();
        private long mLastCrashNanos;
        private boolean mBlocked;

        /** How often the call was in service during a crash after it was refused for a time. */
        private int mRelapses;

        private boolean isRefused(final long nowNanos) {
            return mBlocked && nowNanos - mLastCrashNanos < blockNanos();
        }

        private long blockNanos() {
            return MIN_BLOCK_NANOS << Math.min(MAX_BLOCK_DOUBLINGS, mRelapses);
        }

        /** A call that is refused is known for as long again after that. */
        private long retentionNanos() {
            return mBlocked ? 2 * blockNanos() : RETENTION_NANOS;
        }
    }

    private final Map<Long, CrashRecord> mRecords = new HashMap<>();

    private Quarantine() {}

    /**
     * Returns a quarantine without calls.
     *
     * @return an empty quarantine
     */
    public static Quarantine empty() {
        return new Quarantine();
    }

    /**
     * Records a call that was in service when a target crashed.
     *
     * @param fingerprint identifies the call when it is sent again
     * @param process the target's process
     * @param nowNanos the monotonic clock
     * @return whether the call is refused from now on and was not refused before
     */
    public boolean recordCrash(final long fingerprint, final String process, final long nowNanos) {
        expire(nowNanos);
        if (mRecords.size() >= MAX_CALLS && !mRecords.containsKey(fingerprint)) {
            return false;
        }
        final CrashRecord record = mRecords.computeIfAbsent(fingerprint, key -> new CrashRecord());
        if (record.mBlocked && !record.isRefused(nowNanos)) {
            record.mRelapses++;
        }
        record.mLastCrashNanos = nowNanos;
        record.mProcesses.add(process);
        final boolean newlyBlocked = !record.mBlocked && record.mProcesses.size() >= CRASH_LIMIT;
        record.mBlocked |= newlyBlocked;
        return newlyBlocked;
    }

    /**
     * Returns whether no call with a recent crash is recorded, so that none can be refused.
     *
     * @return true if the quarantine has no calls
     */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /**
     * Returns whether a call must be refused.
     *
     * @param fingerprint identifies the call
     * @param nowNanos the monotonic clock
     * @return true while the call is in quarantine
     */
    public boolean isBlocked(final long fingerprint, final long nowNanos) {
        final CrashRecord record = mRecords.get(fingerprint);
        return record != null && record.isRefused(nowNanos);
    }

    private void expire(final long nowNanos) {
        final Iterator<CrashRecord> records = mRecords.values().iterator();
        while (records.hasNext()) {
            final CrashRecord record = records.next();
            if (nowNanos - record.mLastCrashNanos >= record.retentionNanos()) {
                records.remove();
            }
        }
    }
}
