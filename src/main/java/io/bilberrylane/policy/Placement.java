package io.bilberrylane.policy;

/**
 * How a call is charged for the distance to another data centre.
 *
 * @param measured whether the measured distance is charged instead of a fixed margin
 * @param bodyBytes the expected length of request and response in bytes
 * @param nested whether a running request makes the call, so that its target is sought near that of
 *     the request
 */
public record Placement(boolean measured, long bodyBytes, boolean nested) {
    /** The charge of a fixed margin. */
    public static final Placement FIXED_MARGIN = new Placement(false, 0, false);
}
