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

/** Reads and checks the routes of a catalogue. */
final class RouteReader {
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final int MAX_ATTEMPTS = 16;
    private static final int MAX_PRIORITY = 100;
    private static final int DEFAULT_ATTEMPTS = 2;

    private final Set<String> mServices;
    private final List<Finding> mFindings;
    private final Map<String, String> mPlaces = new HashMap<>();

    RouteReader(final Set<String> services, final List<Finding> findings) {
        mServices = services;
        mFindings = findings;
    }

    /** Returns the route at a place, or nothing when it has errors. */
    Optional<Route> read(final PlacedNode node) {
        return FieldScope.of(node, "a route", mFindings).flatMap(this::route);
    }

    private Optional<Route> route(final FieldScope scope) {
        final int before = mFindings.size();
        final String host = scope.requiredText("host").toLowerCase(Locale.ROOT);
        final String prefix = scope.requiredText("pathPrefix");
        checkPrefix(scope, host, prefix);
        final List<WeightedService> parts = parts(scope);
        final RunRule runRule = runRule(scope);
        final long timeout = scope.number("timeoutMillis", 10_000, 1, MAX_TIMEOUT_MILLIS);
        final long objective = scope.number("objectiveMillis", timeout, 1, MAX_TIMEOUT_MILLIS);
        final int attempts = (int) scope.number("attempts", DEFAULT_ATTEMPTS, 1, MAX_ATTEMPTS);
        final int priority = (int) scope.number("priority", 1, 0, MAX_PRIORITY);
        final Set<String> regions = new HashSet<>(scope.texts("regions"));
        scope.rejectUnknown();
        if (mFindings.size() > before) {
            return Optional.empty();
        }
        return Optional.of(
                new Route(
                        host, prefix, parts, runRule, timeout, objective, attempts, priority,
                        regions));
    }

    private void checkPrefix(final FieldScope scope, final String host, final String prefix) {
        if (!prefix.isEmpty() && !(prefix.startsWith("/") && prefix.endsWith("/"))) {
            scope.error(
                    scope.place("pathPrefix"),
                    "bad-prefix",
                    "'" + prefix + "' must begin and end with a slash");
        }
        final String earlier = mPlaces.putIfAbsent(host + " " + prefix, scope.place("pathPrefix"));
        if (earlier != null) {
            scope.error(
                    scope.place("pathPrefix"),
                    "duplicate-route",
                    "'" + host + prefix + "' is the route at " + earlier);
        }
    }

    private RunRule runRule(final FieldScope scope) {
        final String name = scope.text("run").orElse("by-method");
        return switch (name) {
            case "repeatable" -> RunRule.REPEATABLE;
            case "once" -> RunRule.ONCE;
            case "by-method" -> RunRule.BY_METHOD;
            default -> {
                scope.error(
                        scope.place("run"),
                        "bad-run-rule",
                        "run must be repeatable, once or by-method, not '" + name + "'");
                yield RunRule.ONCE;
            }
        };
    }

    private List<WeightedService> parts(final FieldScope scope) {
        final List<WeightedService> parts = new ArrayList<>();
        for (final PlacedNode node : scope.items("split")) {
            FieldScope.of(node, "a part", mFindings)
                    .ifPresent(
                            part -> {
                                final String service = part.requiredText("service");
                                checkService(part, service);
                                parts.add(
                                        new WeightedService(
                                                service, part.decimal("weight", 1, 0, 1e9)));
                                part.rejectUnknown();
                            });
        }
        final Optional<String> service = scope.text("service");
        service.ifPresent(name -> checkService(scope, name));
        service.ifPresent(name -> parts.add(new WeightedService(name, 1)));
        final boolean mixed = service.isPresent() && parts.size() > 1;
        if (mixed || parts.stream().mapToDouble(WeightedService::weight).sum() <= 0) {
            scope.error(
                    scope.place("host"),
                    "bad-split",
                    "a route needs either a service or a split with a positive weight");
        }
        return parts;
    }

    private void checkService(final FieldScope scope, final String service) {
        if (!service.isEmpty() && !mServices.contains(service)) {
            scope.error(
                    scope.place("service"),
                    "unknown-service",
                    "'" + service + "' is no service of this catalogue");
        }
    }
}
