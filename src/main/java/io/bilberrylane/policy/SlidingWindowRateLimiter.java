package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds the events in any span of one second. Not thread-safe. */
public final class SlidingWindowRateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Deque<Long> mEvents = new ArrayDeque<>();

    /**
     * Returns when the next event may happen.
     *
     * @param limit the most events in a second; 0 or less without a limit
     * @param nowNanos the monotonic clock
     * @return nanoseconds to wait; 0 when it may happen now
     */
    public long waitNanos(final int limit, final long nowNanos) {
        expire(nowNanos);
        if (limit <= 0 || mEvents.size() < limit) {
            return 0;
        }
        long oldest = 0;
        int skip = mEvents.size() - limit;
        for (final long event : mEvents) {
            oldest = event;
            if (skip-- == 0) {
                break;
            }
        }
        return Math.max(0, oldest + WINDOW_NANOS - nowNanos);
    }

    /**
     * Takes note of an event.
     *
     * @param nowNanos the monotonic clock
     */
    public void recordEvent(final long nowNanos) {
        expire(nowNanos);
        mEvents.addLast(nowNanos);
    }

    private void expire(final long nowNanos) {
        while (!mEvents.isEmpty() && nowNanos - mEvents.peekFirst() >= WINDOW_NANOS) {
            mEvents.pollFirst();
        }
    }
}
