package io.bilberrylane.catalogue;

import java.util.Objects;

/** The result of looking up the route of a request. */
public sealed interface RouteMatch {
    /**
     * The route with the longest matching prefix.
     *
     * @param route the route
     */
    record Found(Route route) implements RouteMatch {
        /** Checks that the route is not null. */
        public Found {
            Objects.requireNonNull(route, "route is null");
        }
    }

    /** The route with the longest matching prefix cannot be understood. */
    record Unusable() implements RouteMatch {}

    /** No route matches. */
    record None() implements RouteMatch {}
}
