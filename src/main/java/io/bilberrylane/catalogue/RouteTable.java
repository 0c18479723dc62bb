package io.bilberrylane.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Finds the route of a call by its host name and the longest matching path prefix. */
final class RouteTable {
    private record Row(String pathPrefix, RouteMatch match) {}

    private static final RouteMatch NONE = new RouteMatch.None();
    private static final RouteMatch UNUSABLE = new RouteMatch.Unusable();

    private final Map<String, List<Row>> mByHost = new HashMap<>();

    private RouteTable() {}

    static RouteTable of(final List<Route> routes, final List<UnusableRoute> unusableRoutes) {
        final RouteTable table = new RouteTable();
        unusableRoutes.forEach(route -> table.add(route.host(), route.pathPrefix(), UNUSABLE));
        routes.forEach(
                route -> table.add(route.host(), route.pathPrefix(), new RouteMatch.Found(route)));
        final Comparator<Row> longestFirst =
                Comparator.comparingInt((Row row) -> row.pathPrefix().length()).reversed();
        table.mByHost.values().forEach(rows -> rows.sort(longestFirst));
        return table;
    }

    private void add(final String host, final String pathPrefix, final RouteMatch match) {
        mByHost.computeIfAbsent(host.toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                .add(new Row(pathPrefix, match));
    }

    RouteMatch match(final String host, final String path) {
        for (final Row row : mByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(row.pathPrefix())) {
                return row.match();
            }
        }
        return NONE;
    }
}
