package io.bilberrylane.policy;

import java.util.Objects;

/**
 * How far the calls of an organisation may exceed its limit over the whole fleet.
 *
 * @param windowMillis the sliding window over which calls are counted, in milliseconds
 * @param overage the calls in addition to the limit, as a fraction of it
 * @param slack the calls in addition to that in each window
 */
public record QuotaBounds(long windowMillis, double overage, double slack) {
    /** The bounds that apply unless the settings define others. */
    public static final QuotaBounds DEFAULT = new QuotaBounds(5_000, 0.1, 20);

    /** Checks that the window is positive and that no component is negative. */
    public QuotaBounds {
        if (windowMillis < 1 || !(overage >= 0 && slack >= 0)) {
            throw new IllegalArgumentException(
                    "a quota bound is negative or the quota window is below 1 ms");
        }
    }

    /**
     * Returns the calls of an organisation that targets may receive in one window.
     *
     * @param ratePerSecond the organisation's rate, in calls per second
     * @param burst the calls in addition to the rate
     * @return the number of calls
     */
    public double maxCalls(final double ratePerSecond, final double burst) {
        return (ratePerSecond * windowMillis / 1_000 + burst) * (1 + overage) + slack;
    }

    // Nodes compare their bounds every 100 ms. Linking the generated methods of a record by method
    // handles at their first call is a noticeable part of a start.

    @Override
    public boolean equals(final Object other) {
        return other instanceof QuotaBounds bounds
                && windowMillis == bounds.windowMillis
                && Double.compare(overage, bounds.overage) == 0
                && Double.compare(slack, bounds.slack) == 0;
    }

    @Override
    public int hashCode() {
        return Objects.hash(windowMillis, overage, slack);
    }
}
