package io.bilberrylane.node;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Counts requests by organisation. */
final class OrganisationMetrics {
    /** Later names are counted together, so that the number of series is bounded. */
    private static final int MAX_NAMES = 100;

    private static final String NONE = "none";
    private static final String OTHER = "other";

    private final MeterRegistry mRegistry;
    private final Set<String> mNames = ConcurrentHashMap.newKeySet();
    private final Map<String, Counter> mRequests = new ConcurrentHashMap<>();
    private final Map<String, Counter> mUnknownKeys = new ConcurrentHashMap<>();

    OrganisationMetrics(final MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Counts the end of a request; the name is empty if no organisation is known. */
    void record(final String organisation, final String outcome) {
        final String label = organisation.isEmpty() ? NONE : label(organisation);
        mRequests
                .computeIfAbsent(
                        outcome + " " + label,
                        key ->
                                Counter.builder("bilberrylane.organisation.requests")
                                        .description("Requests by organisation and outcome")
                                        .tag("organisation", label)
                                        .tag("outcome", outcome)
                                        .register(mRegistry))
                .increment();
    }

    private String label(final String organisation) {
        if (mNames.contains(organisation)) {
            return organisation;
        }
        synchronized (mNames) {
            if (mNames.size() < MAX_NAMES) {
                mNames.add(organisation);
            }
            return mNames.contains(organisation) ? organisation : OTHER;
        }
    }

    void recordUnknownKey(final String reason) {
        mUnknownKeys
                .computeIfAbsent(
                        reason,
                        key ->
                                Counter.builder("bilberrylane.keys.unknown")
                                        .description("Requests refused for want of a known key")
                                        .tag("reason", reason)
                                        .register(mRegistry))
                .increment();
    }
}
