package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This ingress's share of what the fleet may send to a second target, for each service over a
 * sliding time. Not thread-safe.
 */
public final class RetryBudget {
    /** The part of the fleet's ratio that is spent; the rest covers what others cannot see. */
    private static final double RATIO_FRACTION = 0.6;

    /** The part of the fleet's slack that all ingresses together spend. */
    private static final double SLACK_FRACTION = 0.5;

    private static final class Window {
        private final Deque<Long> mCalls = new ArrayDeque<>();
        private final Deque<Long> mRetries = new ArrayDeque<>();

        private void expire(final long beforeNanos) {
            expire(mCalls, beforeNanos);
            expire(mRetries, beforeNanos);
        }

        private static void expire(final Deque<Long> events, final long beforeNanos) {
            while (!events.isEmpty() && events.peekFirst() - beforeNanos < 0) {
                events.pollFirst();
            }
        }
    }

    private final Map<String, Window> mWindows = new HashMap<>();

    private RetryBudget() {}

    /**
     * Returns a budget of which nothing is spent.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /**
     * Takes note of a call that this ingress took from a caller.
     *
     * @param service its service
     * @param bounds what the fleet keeps within
     * @param nowNanos the monotonic clock
     */
    public void recordCall(final String service, final FleetBounds bounds, final long nowNanos) {
        window(service, bounds, nowNanos).mCalls.addLast(nowNanos);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param service the service that gets it
     * @param bounds what the fleet keeps within
     * @param ingresses how many ingresses share the slack, at least 1
     * @param nowNanos the monotonic clock
     * @return false when the budget is spent; nothing may be sent then
     */
    public boolean tryAcquire(
            final String service,
            final FleetBounds bounds,
            final int ingresses,
            final long nowNanos) {
        final Window window = window(service, bounds, nowNanos);
        final double maxRetries =
                bounds.retryRatio() * RATIO_FRACTION * window.mCalls.size()
                        + bounds.retrySlack() * SLACK_FRACTION / Math.max(1, ingresses);
        if (window.mRetries.size() + 1 > maxRetries) {
            return false;
        }
        window.mRetries.addLast(nowNanos);
        return true;
    }

    private Window window(final String service, final FleetBounds bounds, final long nowNanos) {
        final Window window = mWindows.computeIfAbsent(service, name -> new Window());
        window.expire(nowNanos - bounds.retryWindowMillis() * 1_000_000L);
        return window;
    }
}
