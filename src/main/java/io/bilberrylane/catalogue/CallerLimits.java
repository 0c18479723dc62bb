package io.bilberrylane.catalogue;

/**
 * The limits on the size and the duration of callers' requests.
 *
 * @param headBytes the maximum size of a request head, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headTimeoutMillis the maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis the maximum idle time of a connection, in milliseconds
 */
public record CallerLimits(
        int headBytes, long bodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply unless the catalogue sets others. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(32 * 1024, Long.MAX_VALUE, 10_000, 60_000);

    /**
     * Checks the ranges of the limits.
     *
     * @throws IllegalArgumentException if {@code bodyBytes} is negative or another limit is below 1
     */
    public CallerLimits {
        if (headBytes < 1 || bodyBytes < 0 || headTimeoutMillis < 1 || idleTimeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "bodyBytes is negative or another caller limit is below 1");
        }
    }
}
