package io.bilberrylane.policy;

/**
 * The state of a target as its gate knows it at one moment.
 *
 * @param inFlight the number of requests in service
 * @param queued the number of requests that wait at the gate
 * @param allowance the maximum number of requests that the gate lets into service now
 * @param serviceMicros the smoothed service time of one request at normal speed, in microseconds
 * @param accepting whether the gate admits new calls at all
 * @param speedPercent the current service time, in percent of normal
 * @param failurePercent the smoothed share of requests that fail, in percent
 */
public record TargetLoad(
        int inFlight,
        int queued,
        int allowance,
        long serviceMicros,
        boolean accepting,
        int speedPercent,
        int failurePercent) {
    /** The speed at which a request takes its usual service time. */
    public static final int NORMAL_SPEED_PERCENT = 100;

    /** The load of a gate that has no target. */
    public static final TargetLoad ABSENT =
            new TargetLoad(0, 0, 0, 0, false, NORMAL_SPEED_PERCENT, 0);

    /** Checks that the speed is positive and no other value is negative. */
    public TargetLoad {
        if (inFlight < 0
                || queued < 0
                || allowance < 0
                || serviceMicros < 0
                || speedPercent < 1
                || failurePercent < 0) {
            throw new IllegalArgumentException(
                    "load has a negative value or a speed below 1 percent");
        }
    }

    /**
     * Returns a load at normal speed without failures.
     *
     * @param inFlight the number of requests in service
     * @param queued the number of requests that wait at the gate
     * @param allowance the maximum number of requests that the gate lets into service now
     * @param serviceMicros the smoothed service time of one request, in microseconds
     * @param accepting whether the gate admits new calls at all
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
