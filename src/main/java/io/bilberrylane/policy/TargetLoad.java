package io.bilberrylane.policy;

/**
 * What a gate knows of its target at one moment.
 *
 * @param inFlight requests in service
 * @param queued requests that wait at the gate
 * @param allowance the most requests that the gate lets into service now
 * @param serviceMicros smoothed time of one request in service at normal speed, in microseconds
 * @param accepting whether the gate admits new work at all
 * @param speedPercent how long work takes now, in percent of normal
 * @param failurePercent the smoothed part of requests that fail, in percent
 */
public record TargetLoad(
        int inFlight,
        int queued,
        int allowance,
        long serviceMicros,
        boolean accepting,
        int speedPercent,
        int failurePercent) {
    /** Work takes as long as usual. */
    public static final int NORMAL_SPEED_PERCENT = 100;

    /** The load of a gate that has no target. */
    public static final TargetLoad ABSENT =
            new TargetLoad(0, 0, 0, 0, false, NORMAL_SPEED_PERCENT, 0);

    /** Checks that no count is negative. */
    public TargetLoad {
        if (inFlight < 0
                || queued < 0
                || allowance < 0
                || serviceMicros < 0
                || speedPercent < 1
                || failurePercent < 0) {
            throw new IllegalArgumentException("load has a negative part");
        }
    }

    /**
     * Returns a load at normal speed without failures.
     *
     * @param inFlight requests in service
     * @param queued requests that wait at the gate
     * @param allowance the most requests that the gate lets into service now
     * @param serviceMicros smoothed time of one request in service, in microseconds
     * @param accepting whether the gate admits new work at all
     * @return the load
     */
    public static TargetLoad of(
            final int inFlight,
            final int queued,
            final int allowance,
            final long serviceMicros,
            final boolean accepting) {
        return new TargetLoad(
                inFlight, queued, allowance, serviceMicros, accepting, NORMAL_SPEED_PERCENT, 0);
    }
}
