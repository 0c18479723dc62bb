package io.bilberrylane.policy;

/**
 * The capacity of several targets, as far as it is known.
 *
 * @param knownTargets the number of targets with a report that is recent enough
 * @param slots the sum of their allowances
 * @param freeSlots the sum of the slots into which a call could enter at once
 * @param waitingMillis the work that waits at their gates, in milliseconds of service time
 * @param ageNanos the age of the oldest report; 0 if no target is known
 */
public record CapacityEstimate(
        int knownTargets, int slots, int freeSlots, double waitingMillis, long ageNanos) {
    /** The estimate without any known target. */
    public static final CapacityEstimate UNKNOWN = new CapacityEstimate(0, 0, 0, 0, 0);

    /**
     * Returns the sum of two estimates.
     *
     * @param other the other estimate
     * @return the estimate of the targets of both
     */
    public CapacityEstimate plus(final CapacityEstimate other) {
        return new CapacityEstimate(
                knownTargets + other.knownTargets,
                slots + other.slots,
                freeSlots + other.freeSlots,
                waitingMillis + other.waitingMillis,
                Math.max(ageNanos, other.ageNanos));
    }

    /**
     * Returns the time until the waiting work is done.
     *
     * @return milliseconds; 0 if no target is known
     */
    public double drainMillis() {
        return slots == 0 ? 0 : waitingMillis / slots;
    }
}
