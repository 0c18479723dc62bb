package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This ingress's share of the calls that the fleet may send to a second target, per service and
 * over a sliding window.
 *
 * <p>Load pattern: one service refuses or fails much of its work, so that the runs that call it
 * fail too and are repeated, which repeats their calls to the failing service. Calls that repeated
 * runs make are therefore spent from the same share as this ingress's own retries, and once the
 * share is spent, failed runs at the target beside this ingress are not repeated. Not thread-safe.
 */
public final class RetryBudget {
    /**
     * The fraction of the fleet's retry ratio that is spent; the rest is a reserve for what the
     * other ingresses cannot see.
     */
    private static final double RATIO_FRACTION = 0.6;

    /** The fraction of the fleet's retry slack that all ingresses together spend. */
    private static final double SLACK_FRACTION = 0.5;

    private static final class Window {
        private final Deque<Long> mCalls = new ArrayDeque<>();
        private final Deque<Long> mRetries = new ArrayDeque<>();
        private final Deque<Long> mRetriesOfRepeatedRuns = new ArrayDeque<>();
        private double mPartialRetries;

        private void expire(final long beforeNanos) {
            expire(mCalls, beforeNanos);
            expire(mRetries, beforeNanos);
            expire(mRetriesOfRepeatedRuns, beforeNanos);
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
     * Returns an unspent budget.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /**
     * Records a call that this ingress accepted from a caller.
     *
     * @param service the call's service
     * @param bounds the bounds of the whole fleet
     * @param nowNanos the monotonic clock
     */
    public void recordCall(final String service, final FleetBounds bounds, final long nowNanos) {
        recordCall(service, bounds, 0, nowNanos);
    }

    /**
     * Records a call that this ingress accepted, and that a repeated run may have made.
     *
     * @param service the call's service
     * @param bounds the bounds of the whole fleet
     * @param repeatProbability the probability that a repeated run made the call, from 0 to 1; it
     *     is spent from the budget
     * @param nowNanos the monotonic clock
     */
    public void recordCall(
            final String service,
            final FleetBounds bounds,
            final double repeatProbability,
            final long nowNanos) {
        final Window window = window(service, bounds, nowNanos);
        window.mCalls.addLast(nowNanos);
        window.mPartialRetries += repeatProbability;
        while (window.mPartialRetries >= 1) {
            window.mPartialRetries--;
            window.mRetries.addLast(nowNanos);
            window.mRetriesOfRepeatedRuns.addLast(nowNanos);
        }
    }

    /**
     * Returns whether repeating another run at the target beside this ingress would exceed the
     * budget of a service that the target calls.
     *
     * @param bounds the bounds of the whole fleet
     * @param ingresses the number of ingresses that share the slack, at least 1
     * @param nowNanos the monotonic clock
     * @return true if calls of repeated runs have spent the budget of a service
     */
    public boolean isSpentByRepeatedRuns(
            final FleetBounds bounds, final int ingresses, final long nowNanos) {
        for (final String service : mWindows.keySet()) {
            final Window window = window(service, bounds, nowNanos);
            if (!window.mRetriesOfRepeatedRuns.isEmpty()
                    && window.mRetries.size() + 1 > maxRetries(window, bounds, ingresses)) {
                return true;
            }
        }
        return false;
    }

    private static double maxRetries(
            final Window window, final FleetBounds bounds, final int ingresses) {
        return bounds.retryRatio() * RATIO_FRACTION * window.mCalls.size()
                + bounds.retrySlack() * SLACK_FRACTION / Math.max(1, ingresses);
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param service the service that receives the retry
     * @param bounds the bounds of the whole fleet
     * @param ingresses the number of ingresses that share the slack, at least 1
     * @param nowNanos the monotonic clock
     * @return false if the budget is spent; nothing may be sent then
     */
    public boolean tryAcquire(
            final String service,
            final FleetBounds bounds,
            final int ingresses,
            final long nowNanos) {
        final Window window = window(service, bounds, nowNanos);
        if (window.mRetries.size() + 1 > maxRetries(window, bounds, ingresses)) {
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
