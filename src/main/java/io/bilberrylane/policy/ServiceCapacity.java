package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The capacity of each service in each data centre, from the loads that gates report in their
 * replies. Reports that are too old are left out. Not thread-safe.
 */
public final class ServiceCapacity {
    /** A report that is older tells nothing: queues of some hundred milliseconds come and go. */
    static final long MAX_AGE_NANOS = 1_000_000_000L;

    private static final int MAX_TARGETS = 8_192;

    private record Report(String service, String dataCentre, CapacityEstimate capacity, long at) {}

    private final Map<String, Report> mReportsByHost = new HashMap<>();

    private ServiceCapacity() {}

    /**
     * Returns a state without reports.
     *
     * @return an empty state
     */
    public static ServiceCapacity empty() {
        return new ServiceCapacity();
    }

    /**
     * Records the load that a gate has reported.
     *
     * @param service the service of its target
     * @param target the target
     * @param load the load
     * @param nowNanos the monotonic clock
     */
    public void record(
            final String service,
            final Candidate target,
            final TargetLoad load,
            final long nowNanos) {
        if (mReportsByHost.size() >= MAX_TARGETS && !mReportsByHost.containsKey(target.host())) {
            mReportsByHost.values().removeIf(report -> nowNanos - report.at() > MAX_AGE_NANOS);
            if (mReportsByHost.size() >= MAX_TARGETS) {
                return;
            }
        }
        final int slots = load.accepting() ? load.allowance() : 0;
        final boolean isSlow = load.speedPercent() > SpeedEstimate.SLOW_THRESHOLD_PERCENT;
        final int freeSlots =
                load.queued() > 0 || isSlow ? 0 : Math.max(0, slots - load.inFlight());
        final double waitingMillis = load.queued() * load.serviceMicros() / 1_000.0;
        mReportsByHost.put(
                target.host(),
                new Report(
                        service,
                        target.dataCentre(),
                        new CapacityEstimate(1, slots, freeSlots, waitingMillis, 0),
                        nowNanos));
    }

    /**
     * Returns the capacity of a service in each data centre.
     *
     * @param service the service
     * @param nowNanos the monotonic clock
     * @return the estimates of the data centres with a report that is recent enough
     */
    public Map<String, CapacityEstimate> byDataCentre(final String service, final long nowNanos) {
        final Map<String, CapacityEstimate> estimates = new TreeMap<>();
        for (final Report report : mReportsByHost.values()) {
            final long ageNanos = nowNanos - report.at();
            if (ageNanos <= MAX_AGE_NANOS && report.service().equals(service)) {
                final CapacityEstimate aged =
                        report.capacity().plus(new CapacityEstimate(0, 0, 0, 0, ageNanos));
                estimates.merge(report.dataCentre(), aged, CapacityEstimate::plus);
            }
        }
        return estimates;
    }

    /**
     * Returns the capacity of a service over the fleet.
     *
     * @param service the service
     * @param nowNanos the monotonic clock
     * @return the estimate; {@link CapacityEstimate#UNKNOWN} without a recent report
     */
    public CapacityEstimate total(final String service, final long nowNanos) {
        return byDataCentre(service, nowNanos).values().stream()
                .reduce(CapacityEstimate.UNKNOWN, CapacityEstimate::plus);
    }
}
