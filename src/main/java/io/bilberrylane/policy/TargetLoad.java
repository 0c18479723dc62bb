package io.bilberrylane.policy;

/**
 * What a gate knows of its target at one moment.
 *
 * @param inFlight requests in service
 * @param queued requests that wait at the gate
 * @param allowance the most requests that the gate lets into service now
 * @param serviceMicros smoothed time of one request in service, in microseconds
 * @param accepting whether the gate admits new work at all
 */
public record TargetLoad(
        int inFlight, int queued, int allowance, long serviceMicros, boolean accepting) {
    /** The load of a gate that has no target. */
    public static final TargetLoad ABSENT = new TargetLoad(0, 0, 0, 0, false);

    /** Checks that no count is negative. */
    public TargetLoad {
        if (inFlight < 0 || queued < 0 || allowance < 0 || serviceMicros < 0) {
            throw new IllegalArgumentException("load has a negative part");
        }
    }
}
