package io.bilberrylane.catalogue;

/**
 * The service-level objectives of an entry.
 *
 * @param availability the fraction of calls that must not fail, between 0 and 1 exclusive
 * @param latencyMillis the time within which calls must be answered, in milliseconds
 * @param latencyQuantile the fraction of calls that must be answered within {@code latencyMillis},
 *     between 0 and 1 exclusive
 */
public record Objectives(double availability, long latencyMillis, double latencyQuantile) {
    /** The objectives of an entry that sets none. */
    public static final Objectives DEFAULT = new Objectives(0.999, 100, 0.99);

    /**
     * Checks the ranges of the objectives.
     *
     * @throws IllegalArgumentException if a fraction is not between 0 and 1 exclusive or {@code
     *     latencyMillis} is below 1
     */
    public Objectives {
        if (!(availability > 0 && availability < 1)
                || !(latencyQuantile > 0 && latencyQuantile < 1)) {
            throw new IllegalArgumentException(
                    "availability or latencyQuantile is not between 0 and 1");
        }
        if (latencyMillis < 1) {
            throw new IllegalArgumentException("latencyMillis is below 1");
        }
    }
}
