package io.bilberrylane.node;

import io.bilberrylane.http.IngressMetrics;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The metrics of one node: responses and errors seen by callers, and gauges of the node itself. */
final class NodeMetrics implements IngressMetrics {
    private static final int MAX_SERVICES = 1_024;

    /** Priorities from this one on have one label. */
    private static final int MAX_PRIORITY_LABELS = 10;

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** The timers of each service by status class. */
    private final Map<String, Map<Integer, Timer>> mTimers = new ConcurrentHashMap<>();

    private final Map<String, Counter> mRefusals = new ConcurrentHashMap<>();
    private final Map<String, Counter> mCuts = new ConcurrentHashMap<>();
    private final OrganisationMetrics mOrganisations = new OrganisationMetrics(mRegistry);
    private final Map<String, Counter> mCapacityRefusals = new ConcurrentHashMap<>();

    @Override
    public void recordResponse(final String service, final int status, final long durationNanos) {
        if (service.isEmpty() || mTimers.size() > MAX_SERVICES) {
            return;
        }
        timerOf(service, status / 100).record(durationNanos, TimeUnit.NANOSECONDS);
    }

    private Timer timerOf(final String service, final int statusClass) {
        final Map<Integer, Timer> known = mTimers.get(service);
        final Timer timer = known == null ? null : known.get(statusClass);
        return timer != null
                ? timer
                : mTimers.computeIfAbsent(service, name -> new ConcurrentHashMap<>())
                        .computeIfAbsent(statusClass, key -> timer(service, statusClass + "xx"));
    }

    private Timer timer(final String service, final String statusClass) {
        return Timer.builder("bilberrylane.calls")
                .description("Calls that a target answered, by the time since their head")
                .tag("service", service)
                .tag("status", statusClass)
                .serviceLevelObjectives(
                        Duration.ofMillis(1),
                        Duration.ofMillis(2),
                        Duration.ofMillis(5),
                        Duration.ofMillis(10),
                        Duration.ofMillis(25),
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(250),
                        Duration.ofMillis(1_000),
                        Duration.ofMillis(5_000))
                .register(mRegistry);
    }

    @Override
    public void recordError(final String service, final String code, final boolean notRun) {
        final String outcome = notRun ? "not-run" : "unknown";
        mRefusals
                .computeIfAbsent(
                        service + " " + code + " " + outcome,
                        key ->
                                Counter.builder("bilberrylane.refusals")
                                        .description("Calls refused or failed by the node")
                                        .tag("service", service)
                                        .tag("code", code)
                                        .tag("outcome", outcome)
                                        .register(mRegistry))
                .increment();
    }

    @Override
    public void recordCut(final String service, final String reason) {
        mCuts.computeIfAbsent(
                        service + " " + reason,
                        key ->
                                Counter.builder("bilberrylane.answers.cut")
                                        .description("Requests without a whole response")
                                        .tag("service", service)
                                        .tag("reason", reason)
                                        .register(mRegistry))
                .increment();
    }

    @Override
    public void recordOrganisation(final String organisation, final String outcome) {
        mOrganisations.record(organisation, outcome);
    }

    @Override
    public void recordUnknownKey(final String reason) {
        mOrganisations.recordUnknownKey(reason);
    }

    /** Counts a call that was refused for lack of capacity, by the ingress or by gates. */
    void recordCapacityRefusal(final String service, final String reason, final int priority) {
        final String label = priority < MAX_PRIORITY_LABELS ? Integer.toString(priority) : "other";
        mCapacityRefusals
                .computeIfAbsent(
                        service + " " + reason + " " + label,
                        key ->
                                Counter.builder("bilberrylane.capacity.refusals")
                                        .description("Calls refused for lack of capacity")
                                        .tag("service", service)
                                        .tag("reason", reason)
                                        .tag("priority", label)
                                        .register(mRegistry))
                .increment();
    }

    void gauge(final String name, final String description, final Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(mRegistry);
    }

    String scrape() {
        return mRegistry.scrape();
    }
}
