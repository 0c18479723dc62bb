package io.bilberrylane.catalogue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The routes by which the name and the hosts of a service lead to it without a listed route. */
final class ServiceNameRoutes {
    private static final int ATTEMPTS = 3;

    private ServiceNameRoutes() {}

    /** Returns the listed routes, then those for the names and hosts of the entries. */
    static List<Route> addTo(final List<Route> listed, final Collection<ServiceEntry> entries) {
        final List<Route> all = new ArrayList<>(listed);
        for (final ServiceEntry entry : entries) {
            all.add(route(entry, entry.service()));
            entry.hosts().forEach(host -> all.add(route(entry, host)));
        }
        return all;
    }

    private static Route route(final ServiceEntry entry, final String host) {
        final long timeoutMillis = entry.limits().timeoutMillis();
        return new Route(
                host.toLowerCase(Locale.ROOT),
                "/",
                List.of(new WeightedService(entry.service(), 1)),
                RunRule.BY_METHOD,
                timeoutMillis,
                Math.min(timeoutMillis, entry.objectives().latencyMillis()),
                ATTEMPTS,
                entry.serviceClass().ordinal(),
                Set.of(),
                false,
                false);
    }
}
