package io.bilberrylane.policy;

/**
 * What the whole fleet keeps within.
 *
 * @param coldOverage how many times its announced rate a cold target may get in a second
 * @param coldSlack requests that a cold target may get in a second besides
 * @param retryRatio arrivals at a second target, as a part of a service's calls
 * @param retryWindowMillis the sliding time over which they are counted, in milliseconds
 * @param retrySlack arrivals at a second target in that time besides
 * @param probesPerSecond questions that one target may get in a second
 */
public record FleetBounds(
        double coldOverage,
        double coldSlack,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        double probesPerSecond) {
    /** What holds unless the settings say otherwise. */
    public static final FleetBounds DEFAULT = new FleetBounds(1, 0, 0.2, 10_000, 20, 10);

    /** Checks that no bound is negative. */
    public FleetBounds {
        if (!(coldOverage >= 0 && coldSlack >= 0 && retryRatio >= 0 && retrySlack >= 0)
                || retryWindowMillis < 1
                || !(probesPerSecond >= 0)) {
            throw new IllegalArgumentException("a bound of the fleet is negative");
        }
    }
}
