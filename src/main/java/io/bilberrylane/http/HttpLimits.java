package io.bilberrylane.http;

/**
 * Bounds on the connections of one HTTP address.
 *
 * @param connectionLimit the most open connections
 */
public record HttpLimits(int connectionLimit) {
    /** What a node uses unless told otherwise. */
    public static final HttpLimits DEFAULT = new HttpLimits(4_096);
}
