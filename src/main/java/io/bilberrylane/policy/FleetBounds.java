package io.bilberrylane.policy;

/**
 * The bounds that the whole fleet must keep within.
 *
 * @param coldOverage the multiple of its announced rate that a cold target may receive in one
 *     second
 * @param coldSlack the requests that a cold target may receive in one second in addition
 * @param retryRatio the arrivals at a second target, as a fraction of a service's calls
 * @param retryWindowMillis the sliding window over which arrivals are counted, in milliseconds
 * @param retrySlack the arrivals at a second target in one window that are allowed in addition
 * @param probesPerSecond the probes that one target may receive in one second
 */
public record FleetBounds(
        double coldOverage,
        double coldSlack,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        double probesPerSecond) {
    /** The bounds that apply unless the settings define others. */
    public static final FleetBounds DEFAULT = new FleetBounds(1, 0, 0.2, 10_000, 20, 10);

    /** Checks that no bound is negative. */
    public FleetBounds {
        if (!(coldOverage >= 0 && coldSlack >= 0 && retryRatio >= 0 && retrySlack >= 0)
                || retryWindowMillis < 1
                || !(probesPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "a fleet bound is negative or the retry window is below 1 ms");
        }
    }
}
