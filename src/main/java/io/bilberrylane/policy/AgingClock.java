package io.bilberrylane.policy;

/**
 * A clock that never goes back and also advances while the machine is suspended, when the steady
 * clock stops. Not thread-safe.
 */
public final class AgingClock {
    /** Smaller differences are adjustments of the wall clock, which do not add up. */
    private static final long MIN_GAP_NANOS = 100_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private long mSteadyNanos;
    private long mWallMillis;
    private long mSuspendedNanos;

    private AgingClock(final long steadyNanos, final long wallMillis) {
        mSteadyNanos = steadyNanos;
        mWallMillis = wallMillis;
    }

    /**
     * Returns a clock that has seen no suspension.
     *
     * @param steadyNanos the steady clock, in nanoseconds
     * @param wallMillis the wall clock, in milliseconds
     * @return the clock
     */
    public static AgingClock of(final long steadyNanos, final long wallMillis) {
        return new AgingClock(steadyNanos, wallMillis);
    }

    /**
     * Returns the current time. A wall clock that is set forward counts as a suspension, which only
     * lets allowances expire early.
     *
     * @param steadyNanos the steady clock, in nanoseconds
     * @param wallMillis the wall clock, in milliseconds
     * @return the steady clock plus the time of all suspensions, in nanoseconds
     */
    public long now(final long steadyNanos, final long wallMillis) {
        final long gapNanos =
                (wallMillis - mWallMillis) * NANOS_PER_MILLI - (steadyNanos - mSteadyNanos);
        if (gapNanos >= MIN_GAP_NANOS) {
            mSuspendedNanos += gapNanos;
        }
        mSteadyNanos = steadyNanos;
        mWallMillis = wallMillis;
        return steadyNanos + mSuspendedNanos;
    }
}
