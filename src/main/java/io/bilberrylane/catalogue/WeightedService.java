package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * A service that gets a part of a route's calls.
 *
 * @param service the catalogue entry
 * @param weight its part, relative to the other parts of the route
 */
public record WeightedService(String service, double weight) {
    /** Checks that the part is possible. */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight is negative");
        }
    }
}
