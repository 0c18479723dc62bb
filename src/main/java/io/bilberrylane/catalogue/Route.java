package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Where calls of one host name and path prefix go, and how they are treated.
 *
 * @param host the value of the Host header, in lower case and without a port
 * @param pathPrefix begins the path of every call; ends with a slash
 * @param weightedServices the services that share the calls, at least one
 * @param runRule how often a call may run
 * @param timeoutMillis the longest time until the final answer, in milliseconds
 * @param objectiveMillis the time within which an answer is of full use, in milliseconds
 * @param attempts the most targets that one call may be sent to
 * @param priority the place in queues; 0 goes first
 * @param regions the only regions that calls may run in; every region when empty
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
        Set<String> regions) {
    /** Checks the parts and copies the collections. */
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
            throw new IllegalArgumentException("a limit of the route is not positive");
        }
    }

    /**
     * Returns a number that tells the route from others.
     *
     * @return a hash of its host and prefix
     */
    public int id() {
        return (host + pathPrefix).hashCode();
    }

    /**
     * Returns the service for one call.
     *
     * @param random a number from 0 (inclusive) to 1 (exclusive)
     * @return the service whose part holds the number
     */
    public String selectService(final double random) {
        final double totalWeight =
                weightedServices.stream().mapToDouble(WeightedService::weight).sum();
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
