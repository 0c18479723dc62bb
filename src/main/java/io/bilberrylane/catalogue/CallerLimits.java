package io.bilberrylane.catalogue;

/**
 * What callers may send, and how long they may take.
 *
 * @param headBytes the longest head of a request, in bytes
 * @param bodyBytes the longest body of a request, in bytes
 * @param headTimeoutMillis the longest time for a head, in milliseconds
 * @param idleTimeoutMillis how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int headBytes, long bodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** What holds unless the catalogue says otherwise. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(32 * 1024, Long.MAX_VALUE, 10_000, 60_000);

    /** Checks that the limits are possible. */
    public CallerLimits {
        if (headBytes < 1 || bodyBytes < 0 || headTimeoutMillis < 1 || idleTimeoutMillis < 1) {
            throw new IllegalArgumentException("a limit of the callers is not positive");
        }
    }
}
