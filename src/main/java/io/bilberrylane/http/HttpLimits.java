package io.bilberrylane.http;

/**
 * Limits on the connections of one HTTP address.
 *
 * @param connectionLimit the maximum number of open connections
 */
public record HttpLimits(int connectionLimit) {
    /** The default limits of a node. */
    public static final HttpLimits DEFAULT = new HttpLimits(4_096);
}
