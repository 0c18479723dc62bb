package io.bilberrylane.standin;

/**
 * The faults of a target stand-in.
 *
 * @param slowFactor the factor of each service time; 1 for normal speed
 * @param failFast whether each request fails immediately with status 500
 * @param turnCold whether it turns cold when the faults are set, without announcing it
 * @param goSilent whether the connections that are open when the faults are set never respond again
 * @param crossed whether every second response carries the nonce and body for the previous request,
 *     and a wrong call id
 * @param draining whether it announces that it is draining
 */
public record TargetFaults(
        double slowFactor,
        boolean failFast,
        boolean turnCold,
        boolean goSilent,
        boolean crossed,
        boolean draining) {
    /** No faults. */
    public static final TargetFaults NONE = new TargetFaults(1, false, false, false, false, false);
}
