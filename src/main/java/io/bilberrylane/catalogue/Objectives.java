package io.bilberrylane.catalogue;

/**
 * The service-level objectives of an entry.
 *
 * @param availability the share of calls that must not fail, below 1
 * @param latencyMillis the time within which calls must be answered, in milliseconds
 * @param latencyQuantile the share of calls that must meet that time, below 1
 */
public record Objectives(double availability, long latencyMillis, double latencyQuantile) {
    /** What holds for an entry without objectives of its own. */
    public static final Objectives DEFAULT = new Objectives(0.999, 100, 0.99);

    /** Checks that the objectives are possible. */
    public Objectives {
        if (!(availability > 0 && availability < 1)
                || !(latencyQuantile > 0 && latencyQuantile < 1)) {
            throw new IllegalArgumentException("share is not between 0 and 1");
        }
        if (latencyMillis < 1) {
            throw new IllegalArgumentException("latencyMillis is below 1");
        }
    }
}
