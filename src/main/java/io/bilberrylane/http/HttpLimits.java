package io.bilberrylane.http;

/**
 * Bounds on the connections of one HTTP address.
 *
 * @param connections the most open connections
 */
public record HttpLimits(int connections) {
    /** What a node uses unless told otherwise. */
    public static final HttpLimits DEFAULT = new HttpLimits(4_096);
}
