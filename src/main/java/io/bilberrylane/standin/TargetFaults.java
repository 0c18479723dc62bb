package io.bilberrylane.standin;

/**
 * How a target stand-in misbehaves.
 *
 * @param slowFactor multiplies each service time
 * @param failFast whether each request fails at once with 500
 * @param turnCold whether it turns cold, now and unannounced
 * @param goSilent whether its open connections go silent for good, now
 * @param crossed whether each second answer carries the identity of the one before it
 * @param draining whether it announces that it drains
 */
public record TargetFaults(
        double slowFactor,
        boolean failFast,
        boolean turnCold,
        boolean goSilent,
        boolean crossed,
        boolean draining) {
    /** No faults at all. */
    public static final TargetFaults NONE = new TargetFaults(1, false, false, false, false, false);
}
