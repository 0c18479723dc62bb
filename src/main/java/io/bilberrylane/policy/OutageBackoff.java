package io.bilberrylane.policy;

import java.util.Random;

/**
 * Decides how long the reads of a node wait while the platform does not answer. One read at a time
 * is sent as a probe, after a delay that grows with each failure; the others wait until a read has
 * succeeded.
 *
 * <p>Load pattern: all nodes of a fleet have started while the platform is down, and every
 * recurring read of each of them fails at once. Not thread-safe.
 */
public final class OutageBackoff {
    private static final long MIN_DELAY_MILLIS = 250;

    /** Bounds the time for which a node does not notice that the platform answers again. */
    private static final long MAX_DELAY_MILLIS = 1_000;

    private static final int MAX_DOUBLINGS = 2;

    private final Random mRandom;
    private int mConsecutiveFailures;

    private OutageBackoff(final Random random) {
        mRandom = random;
    }

    /**
     * Returns a backoff that knows of no failure.
     *
     * @param random the source of randomness
     * @return the backoff
     */
    public static OutageBackoff of(final Random random) {
        return new OutageBackoff(random);
    }

    /**
     * Returns whether the last completed read failed because the platform did not answer.
     *
     * @return true while reads must wait
     */
    public boolean isOutage() {
        return mConsecutiveFailures > 0;
    }

    /** Records a read that the platform has answered. */
    public void recordAnswer() {
        mConsecutiveFailures = 0;
    }

    /**
     * Records a read without an answer.
     *
     * @return the time until the next probe, in milliseconds
     */
    public long recordFailure() {
        final int doublings = Math.min(MAX_DOUBLINGS, mConsecutiveFailures++);
        final long delayMillis = Math.min(MAX_DELAY_MILLIS, MIN_DELAY_MILLIS << doublings);
        return Math.round(delayMillis * (0.5 + mRandom.nextDouble() / 2));
    }
}
