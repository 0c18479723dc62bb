package io.bilberrylane.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a call by its host name and the longest matching path prefix. */
final class RouteTable {
    private final Map<String, List<Route>> mByHost = new HashMap<>();

    private RouteTable() {}

    static RouteTable of(final List<Route> routes) {
        final RouteTable table = new RouteTable();
        for (final Route route : routes) {
            table.mByHost
                    .computeIfAbsent(
                            route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        final Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        table.mByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        return table;
    }

    Optional<Route> find(final String host, final String path) {
        for (final Route route : mByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
