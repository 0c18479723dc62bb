package io.bilberrylane.catalogue;

import io.bilberrylane.base.Finding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads and validates the routes of a catalogue. */
final class RouteReader {
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final int MAX_ATTEMPTS = 16;
    private static final int MAX_PRIORITY = 100;
    private static final int DEFAULT_ATTEMPTS = 2;

    private final Set<String> mServices;
    private final List<Finding> mFindings;
    private final Map<String, String> mPlaceByRoute = new HashMap<>();

    RouteReader(final Set<String> services, final List<Finding> findings) {
        mServices = services;
        mFindings = findings;
    }

    /** Returns the route of a node, or empty if it has errors. */
    Optional<Route> read(final PlacedNode node) {
        return MappingReader.of(node, "a route", mFindings).flatMap(this::readRoute);
    }

    private Optional<Route> readRoute(final MappingReader mapping) {
        final int findingsBefore = mFindings.size();
        final String host = mapping.requiredText("host").toLowerCase(Locale.ROOT);
        final String prefix = mapping.requiredText("pathPrefix");
        checkPrefix(mapping, host, prefix);
        final List<WeightedService> weightedServices = weightedServices(mapping);
        final RunRule runRule = runRule(mapping);
        final long timeoutMillis = mapping.number("timeoutMillis", 10_000, 1, MAX_TIMEOUT_MILLIS);
        final long objectiveMillis =
                mapping.number("objectiveMillis", timeoutMillis, 1, MAX_TIMEOUT_MILLIS);
        final int attempts = (int) mapping.number("attempts", DEFAULT_ATTEMPTS, 1, MAX_ATTEMPTS);
        final int priority = (int) mapping.number("priority", 1, 0, MAX_PRIORITY);
        final Set<String> regions = new HashSet<>(mapping.texts("regions"));
        final boolean largeResponses = mapping.flag("largeResponses", false);
        final boolean isPublic = mapping.flag("public", false);
        mapping.reportUnknownFields();
        if (mFindings.size() > findingsBefore) {
            return Optional.empty();
        }
        return Optional.of(
                new Route(
                        host,
                        prefix,
                        weightedServices,
                        runRule,
                        timeoutMillis,
                        objectiveMillis,
                        attempts,
                        priority,
                        regions,
                        largeResponses,
                        isPublic));
    }

    private void checkPrefix(final MappingReader mapping, final String host, final String prefix) {
        if (!prefix.isEmpty() && !(prefix.startsWith("/") && prefix.endsWith("/"))) {
            mapping.error(
                    mapping.place("pathPrefix"),
                    "bad-prefix",
                    "'" + prefix + "' must begin and end with a slash");
        }
        final String previousPlace =
                mPlaceByRoute.putIfAbsent(host + " " + prefix, mapping.place("pathPrefix"));
        if (previousPlace != null) {
            mapping.error(
                    mapping.place("pathPrefix"),
                    "duplicate-route",
                    "'" + host + prefix + "' is already defined at " + previousPlace);
        }
    }

    private RunRule runRule(final MappingReader mapping) {
        final String name = mapping.text("run").orElse("by-method");
        return switch (name) {
            case "repeatable" -> RunRule.REPEATABLE;
            case "once" -> RunRule.ONCE;
            case "by-method" -> RunRule.BY_METHOD;
            default -> {
                mapping.error(
                        mapping.place("run"),
                        "bad-run-rule",
                        "run must be repeatable, once or by-method, not '" + name + "'");
                yield RunRule.ONCE;
            }
        };
    }

    private List<WeightedService> weightedServices(final MappingReader mapping) {
        final List<WeightedService> services = new ArrayList<>();
        for (final PlacedNode node : mapping.items("split")) {
            MappingReader.of(node, "a split element", mFindings)
                    .ifPresent(
                            split -> {
                                final String service = split.requiredText("service");
                                checkService(split, service);
                                services.add(
                                        new WeightedService(
                                                service, split.decimal("weight", 1, 0, 1e9)));
                                split.reportUnknownFields();
                            });
        }
        final Optional<String> service = mapping.text("service");
        service.ifPresent(name -> checkService(mapping, name));
        service.ifPresent(name -> services.add(new WeightedService(name, 1)));
        final boolean hasBoth = service.isPresent() && services.size() > 1;
        if (hasBoth || services.stream().mapToDouble(WeightedService::weight).sum() <= 0) {
            mapping.error(
                    mapping.place("host"),
                    "bad-split",
                    "a route needs either a service or a split with a positive weight");
        }
        return services;
    }

    private void checkService(final MappingReader mapping, final String service) {
        if (!service.isEmpty() && !mServices.contains(service)) {
            mapping.error(
                    mapping.place("service"),
                    "unknown-service",
                    "'" + service + "' is not a service of this catalogue");
        }
    }
}
