package io.bilberrylane.policy;

/**
 * The bounds that the fleet observes during a roll-out.
 *
 * @param exposureShare the share of a service's requests that a version may get before it is
 *     trusted
 * @param exposureSlack the requests that it may get in addition
 */
public record RolloutSettings(double exposureShare, double exposureSlack) {
    /** Checks the ranges. */
    public RolloutSettings {
        if (!(exposureShare >= 0 && exposureShare <= 1) || !(exposureSlack >= 0)) {
            throw new IllegalArgumentException("a bound of roll-outs is out of its range");
        }
    }
}
