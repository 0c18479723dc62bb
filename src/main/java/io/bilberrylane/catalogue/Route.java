package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The services and the call settings for one host name and path prefix.
 *
 * @param host the value of the Host header, in lower case and without a port
 * @param pathPrefix the prefix of the path of every call; ends with a slash
 * @param weightedServices the services among which the calls are split by weight; at least one has
 *     a positive weight
 * @param runRule the rule on whether a call may run more than once
 * @param timeoutMillis the maximum time until the final response, in milliseconds
 * @param objectiveMillis the latency objective: the time within which a response has its full
 *     value, in milliseconds
 * @param attempts the maximum number of targets that one call may be sent to
 * @param priority the priority in queues; 0 is served first
 * @param regions the regions in which calls may run; empty allows every region
 * @param largeResponses whether responses are large, so that targets of the caller's data centre
 *     are preferred
 * @param isPublic whether callers need no key although the catalogue has organisations
 */
public record Route(
        String host,
        String pathPrefix,
        List<WeightedService> weightedServices,
        RunRule runRule,
        long timeoutMillis,
        long objectiveMillis,
        int attempts,
        int priority,
        Set<String> regions,
        boolean largeResponses,
        boolean isPublic) {
    /**
     * Checks the components and copies the collections.
     *
     * @throws IllegalArgumentException if no weight is positive, a time or {@code attempts} is
     *     below 1, or {@code priority} is negative
     */
    public Route {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(runRule, "runRule is null");
        weightedServices = List.copyOf(weightedServices);
        regions = Set.copyOf(regions);
        if (weightedServices.isEmpty()
                || weightedServices.stream().mapToDouble(WeightedService::weight).sum() <= 0) {
            throw new IllegalArgumentException("a route needs a service with a positive weight");
        }
        if (timeoutMillis < 1 || objectiveMillis < 1 || attempts < 1 || priority < 0) {
            throw new IllegalArgumentException(
                    "a time or attempts is below 1, or priority is negative");
        }
    }

    /**
     * Returns a number that distinguishes the route from others.
     *
     * @return the hash of the host followed by the path prefix, as {@link String#hashCode} has it
     */
    public int id() {
        int hash = host.hashCode();
        for (int i = 0; i < pathPrefix.length(); i++) {
            hash = 31 * hash + pathPrefix.charAt(i);
        }
        return hash;
    }

    /**
     * Selects the service for one call by weight.
     *
     * @param random a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service whose share of the cumulative weight contains the number
     */
    public String selectService(final double random) {
        if (weightedServices.size() == 1) {
            return weightedServices.get(0).service();
        }
        double totalWeight = 0;
        for (final WeightedService candidate : weightedServices) {
            totalWeight += candidate.weight();
        }
        double remaining = random * totalWeight;
        for (final WeightedService candidate : weightedServices) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
