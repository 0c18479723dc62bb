package io.bilberrylane.catalogue;

/**
 * What one entry may use.
 *
 * @param ratePerSecond calls per second over the fleet; 0 without a limit
 * @param concurrency calls in service over the fleet; 0 without a limit
 * @param bodyBytes the longest request body, in bytes
 * @param timeoutMillis the longest time for a call, in milliseconds
 * @param queueMillis the longest time in a gate's queue, in milliseconds
 */
public record Limits(
        int ratePerSecond, int concurrency, long bodyBytes, long timeoutMillis, long queueMillis) {
    /** What holds for an entry without limits of its own. */
    public static final Limits DEFAULT = new Limits(0, 0, 16L * 1024 * 1024, 10_000, 200);

    /** Checks that the limits are possible. */
    public Limits {
        if (ratePerSecond < 0 || concurrency < 0 || bodyBytes < 0) {
            throw new IllegalArgumentException("limit is negative");
        }
        if (timeoutMillis < 1 || queueMillis < 0 || queueMillis > timeoutMillis) {
            throw new IllegalArgumentException("queue time is outside the call's time");
        }
    }
}
