package io.bilberrylane.http;

/**
 * Bounds on what one HTTP connection may ask for.
 *
 * @param lineBytes the longest request line, in bytes
 * @param headBytes the longest header section, in bytes
 * @param headTimeoutMillis time from the first byte of a head to its last, in milliseconds
 * @param idleTimeoutMillis time between requests, in milliseconds
 * @param connections connections at one address
 */
public record HttpLimits(
        int lineBytes,
        int headBytes,
        long headTimeoutMillis,
        long idleTimeoutMillis,
        int connections) {
    /** What a node uses unless told otherwise. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(8 * 1024, 32 * 1024, 10_000, 60_000, 4_096);
}
