package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the events in any span of one second. Not thread-safe. */
public final class SlidingWindowRateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Deque<Long> mEvents = new ArrayDeque<>();

    /**
     * Returns the time until the next event is allowed.
     *
     * @param limit the maximum number of events per second; 0 or less if unlimited
     * @param nowNanos the monotonic clock
     * @return nanoseconds to wait; 0 if the event is allowed now
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
     * Records an event.
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
