package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * A service of a route and its share of the calls.
 *
 * @param service the service's name in the catalogue
 * @param weight the service's share, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {
    /**
     * Checks the service and the range of the weight.
     *
     * @throws IllegalArgumentException if the weight is negative or NaN
     */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight is negative or NaN");
        }
    }
}
