package io.bilberrylane.catalogue;

/**
 * The limits on the calls of one service.
 *
 * @param ratePerSecond the maximum number of calls per second in the whole fleet; 0 if unlimited
 * @param concurrency the maximum number of calls in service in the whole fleet; 0 if unlimited
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param timeoutMillis the maximum duration of a call, in milliseconds
 * @param queueMillis the maximum time in a gate's queue, in milliseconds; at most {@code
 *     timeoutMillis}
 */
public record Limits(
        int ratePerSecond, int concurrency, long bodyBytes, long timeoutMillis, long queueMillis) {
    /** The limits of an entry that sets none. */
    public static final Limits DEFAULT = new Limits(0, 0, 16L * 1024 * 1024, 10_000, 200);

    /** The limits of an entry whose format knows none. */
    public static final Limits UNLIMITED =
            new Limits(0, 0, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    /**
     * Checks the ranges of the limits.
     *
     * @throws IllegalArgumentException if a limit is negative, {@code timeoutMillis} is below 1 or
     *     {@code queueMillis} exceeds {@code timeoutMillis}
     */
    public Limits {
        if (ratePerSecond < 0 || concurrency < 0 || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "ratePerSecond, concurrency or bodyBytes is negative");
        }
        if (timeoutMillis < 1 || queueMillis < 0 || queueMillis > timeoutMillis) {
            throw new IllegalArgumentException(
                    "timeoutMillis is below 1 or queueMillis is not from 0 to timeoutMillis");
        }
    }
}
