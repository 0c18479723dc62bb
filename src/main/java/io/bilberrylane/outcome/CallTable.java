package io.bilberrylane.outcome;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Keeps the phases of calls at one gate, so that an ingress can learn the outcome of a call after
 * its link was lost.
 *
 * <p>A query for a call that was never seen leaves a tombstone: if the call arrives later, it is
 * refused. Not thread-safe.
 */
public final class CallTable {
    private final long mRetentionNanos;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    private record Entry(CallPhase phase, long changedNanos) {}

    private CallTable(final long retentionNanos) {
        mRetentionNanos = retentionNanos;
    }

    /**
     * Returns an empty table.
     *
     * @param retentionNanos how long a call in a terminal phase is kept, in nanoseconds; must
     *     exceed the longest deadline of a call
     * @return the table
     */
    public static CallTable of(final long retentionNanos) {
        return new CallTable(retentionNanos);
    }

    /**
     * Reserves a call.
     *
     * @param callId the call
     * @param nowNanos the monotonic clock
     * @return false if the call was seen before or has a tombstone; it must not run
     */
    public boolean reserve(final String callId, final long nowNanos) {
        Objects.requireNonNull(callId, "callId is null");
        expire(nowNanos);
        return mEntries.putIfAbsent(callId, new Entry(CallPhase.RESERVED, nowNanos)) == null;
    }

    /**
     * Moves a reserved call to started.
     *
     * @param callId the call
     * @param nowNanos the monotonic clock
     * @return false if the call is not reserved; the target must not receive it
     */
    public boolean start(final String callId, final long nowNanos) {
        return transition(callId, CallPhase.RESERVED, CallPhase.STARTED, nowNanos);
    }

    /**
     * Moves a started call to finished.
     *
     * @param callId the call
     * @param nowNanos the monotonic clock
     * @return false if the call is not started
     */
    public boolean finish(final String callId, final long nowNanos) {
        return transition(callId, CallPhase.STARTED, CallPhase.FINISHED, nowNanos);
    }

    /**
     * Moves a reserved call to refused.
     *
     * @param callId the call
     * @param nowNanos the monotonic clock
     * @return false if the call is not reserved; once it has started, a refusal would be false
     */
    public boolean refuse(final String callId, final long nowNanos) {
        return transition(callId, CallPhase.RESERVED, CallPhase.REFUSED, nowNanos);
    }

    /**
     * Returns the phase of a call. A reserved or unseen call can no longer start afterwards.
     *
     * @param callId the call
     * @param nowNanos the monotonic clock
     * @return any phase except RESERVED
     */
    public CallPhase resolve(final String callId, final long nowNanos) {
        expire(nowNanos);
        final Entry entry = mEntries.get(callId);
        if (entry == null) {
            mEntries.put(callId, new Entry(CallPhase.NEVER, nowNanos));
            return CallPhase.NEVER;
        }
        if (refuse(callId, nowNanos)) {
            return CallPhase.REFUSED;
        }
        return entry.phase();
    }

    /**
     * Returns the number of calls in the table.
     *
     * @return a count
     */
    public int size() {
        return mEntries.size();
    }

    /**
     * Returns the number of calls that are reserved or started. Looks at every call.
     *
     * @return a count
     */
    public int unfinished() {
        return (int) mEntries.values().stream().filter(entry -> !isTerminal(entry.phase())).count();
    }

    // -- state

    private boolean transition(
            final String callId, final CallPhase from, final CallPhase to, final long nowNanos) {
        final Entry entry = mEntries.get(callId);
        if (entry == null || entry.phase() != from) {
            return false;
        }
        mEntries.remove(callId);
        mEntries.put(callId, new Entry(to, nowNanos));
        return true;
    }

    private void expire(final long nowNanos) {
        final Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            final Entry entry = entries.next();
            if (nowNanos - entry.changedNanos() < mRetentionNanos) {
                return;
            }
            if (isTerminal(entry.phase())) {
                entries.remove();
            }
        }
    }

    private static boolean isTerminal(final CallPhase phase) {
        return switch (phase) {
            case NEVER, FINISHED, REFUSED -> true;
            case RESERVED, STARTED -> false;
        };
    }
}
