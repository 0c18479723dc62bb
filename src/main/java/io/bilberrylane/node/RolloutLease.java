package io.bilberrylane.node;

import java.util.concurrent.TimeUnit;

/** How long the confirmation of a state by another node is valid. Not thread-safe. */
final class RolloutLease {
    /** Six synchronizations are started in this time. */
    private static final long LEASE_MILLIS = 1_500;

    private long mEndNanos;
    private long mWallMillis;

    RolloutLease(final long nowNanos) {
        mEndNanos = nowNanos;
    }

    /**
     * Returns whether the lease is valid. The wall clock counts too: the monotonic clock stands
     * still while a machine is suspended.
     */
    boolean isValid(final long nowNanos, final long wallMillis) {
        return nowNanos - mEndNanos < 0 && Math.abs(wallMillis - mWallMillis) < LEASE_MILLIS;
    }

    /** Extends the lease from the time at which the confirmation was requested. */
    void renew(final long requestNanos, final long requestWallMillis) {
        mEndNanos = requestNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS);
        mWallMillis = requestWallMillis;
    }

    /** Ends the lease. */
    void end(final long nowNanos) {
        mEndNanos = nowNanos;
    }
}
