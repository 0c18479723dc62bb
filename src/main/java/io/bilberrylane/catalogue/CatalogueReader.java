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
import java.util.regex.Pattern;

/** Reads and checks a catalogue in YAML or JSON. */
public final class CatalogueReader {
    /** The version of the format that this program reads. */
    public static final int SCHEMA = 1;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
    private static final Pattern METHOD = Pattern.compile("[A-Z]+");
    private static final long MAX_BODY_BYTES = 1L << 40;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long MAX_WINDOW_SECONDS = 7 * 86_400;

    private final List<Finding> mFindings = new ArrayList<>();
    private final Map<String, String> mPlaceByHost = new HashMap<>();

    private CatalogueReader() {}

    /**
     * Returns what a document holds and everything that is wrong with it.
     *
     * @param file the document's name, for places
     * @param text YAML or JSON
     * @return the catalogue with findings
     */
    public static CatalogueCheck read(final String file, final String text) {
        return new CatalogueReader().check(file, text);
    }

    private CatalogueCheck check(final String file, final String text) {
        final Optional<FieldScope> root =
                new PlacedReader(file, mFindings)
                        .read(text)
                        .flatMap(node -> FieldScope.of(node, "the catalogue", mFindings));
        if (root.isEmpty()) {
            return new CatalogueCheck(Catalogue.empty(), mFindings);
        }
        return new CatalogueCheck(catalogue(root.get()), mFindings);
    }

    private Catalogue catalogue(final FieldScope root) {
        final String schema = root.requiredText("schema");
        if (!schema.isEmpty() && !schema.equals(String.valueOf(SCHEMA))) {
            root.error(root.place("schema"), "unknown-schema", "schema must be " + SCHEMA);
        }
        final Catalogue.Builder builder = Catalogue.builder();
        final Set<String> services = new HashSet<>();
        for (final PlacedNode node : root.items("services")) {
            FieldScope.of(node, "a service", mFindings)
                    .map(this::entry)
                    .ifPresent(
                            entry -> {
                                services.add(entry.service());
                                builder.entry(entry);
                            });
        }
        final RouteReader routes = new RouteReader(services, mFindings);
        root.items("routes").forEach(node -> routes.read(node).ifPresent(builder::route));
        builder.callerLimits(callerLimits(root));
        builder.out(names(root, "dataCentresOut"), names(root, "targetsOut"));
        root.rejectUnknown();
        return builder.build();
    }

    // -- entries

    private ServiceEntry entry(final FieldScope scope) {
        final String service = name(scope, "service");
        final List<String> hosts = scope.texts("hosts");
        claimHost(scope, "service", service);
        hosts.forEach(host -> claimHost(scope, "hosts", host));
        final ServiceEntry entry =
                new ServiceEntry(
                        service,
                        scope.requiredText("owner"),
                        serviceClass(scope),
                        hosts,
                        rules(scope),
                        limits(scope),
                        scope.number(
                                "resendWindowSeconds",
                                ServiceEntry.DEFAULT_RESEND_WINDOW_SECONDS,
                                1,
                                MAX_WINDOW_SECONDS),
                        scope.decimal(
                                "probesPerSecond",
                                ServiceEntry.DEFAULT_PROBES_PER_SECOND,
                                0,
                                10_000),
                        objectives(scope),
                        targets(scope));
        scope.rejectUnknown();
        return entry;
    }

    private String name(final FieldScope scope, final String field) {
        final String value = scope.requiredText(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            scope.error(
                    scope.place(field),
                    "bad-name",
                    "'" + value + "' must be of lower-case letters, digits, dots and hyphens");
        }
        return value;
    }

    private void claimHost(final FieldScope scope, final String field, final String host) {
        if (host.isEmpty()) {
            return;
        }
        final String earlier =
                mPlaceByHost.putIfAbsent(host.toLowerCase(Locale.ROOT), scope.place(field));
        if (earlier != null) {
            scope.error(
                    scope.place(field),
                    "duplicate-host",
                    "'" + host + "' belongs to the entry at " + earlier);
        }
    }

    private ServiceClass serviceClass(final FieldScope scope) {
        final String name = scope.text("class").orElse("standard");
        final Optional<ServiceClass> found = ServiceClass.ofName(name);
        if (found.isEmpty()) {
            scope.error(
                    scope.place("class"),
                    "unknown-class",
                    "class must be interactive, standard or batch, not '" + name + "'");
        }
        return found.orElse(ServiceClass.STANDARD);
    }

    private List<IdempotentRule> rules(final FieldScope scope) {
        final List<IdempotentRule> rules = new ArrayList<>();
        for (final String text : scope.texts("idempotent")) {
            final String[] parts = text.trim().split(" +");
            final boolean fits =
                    parts.length == 2
                            && METHOD.matcher(parts[0]).matches()
                            && parts[1].startsWith("/");
            if (fits) {
                rules.add(new IdempotentRule(parts[0], parts[1]));
            } else {
                scope.error(
                        scope.place("idempotent"),
                        "bad-rule",
                        "'" + text + "' must be a method and a path prefix, such as 'PUT /files'");
            }
        }
        return rules;
    }

    private Limits limits(final FieldScope entry) {
        final Optional<FieldScope> found =
                entry.node("limits").flatMap(node -> FieldScope.of(node, "limits", mFindings));
        if (found.isEmpty()) {
            return Limits.DEFAULT;
        }
        final FieldScope scope = found.get();
        final Limits base = Limits.DEFAULT;
        final int rate = (int) scope.number("ratePerSecond", 0, 0, 1_000_000);
        final int concurrency = (int) scope.number("concurrency", 0, 0, 1_000_000);
        final long body = scope.number("bodyBytes", base.bodyBytes(), 0, MAX_BODY_BYTES);
        final long timeout =
                scope.number("timeoutMillis", base.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS);
        final long queue =
                scope.number(
                        "queueMillis",
                        Math.min(base.queueMillis(), timeout),
                        0,
                        MAX_TIMEOUT_MILLIS);
        scope.rejectUnknown();
        if (queue > timeout) {
            scope.error(
                    scope.place("queueMillis"),
                    "contradiction",
                    "queueMillis " + queue + " is above timeoutMillis " + timeout);
            return base;
        }
        return new Limits(rate, concurrency, body, timeout, queue);
    }

    private Objectives objectives(final FieldScope entry) {
        final Optional<FieldScope> found =
                entry.node("objectives")
                        .flatMap(node -> FieldScope.of(node, "objectives", mFindings));
        if (found.isEmpty()) {
            return Objectives.DEFAULT;
        }
        final FieldScope scope = found.get();
        final Objectives base = Objectives.DEFAULT;
        final Objectives objectives =
                new Objectives(
                        scope.decimal("availability", base.availability(), 0.01, 0.999999),
                        scope.number("latencyMillis", base.latencyMillis(), 1, 3_600_000),
                        scope.decimal("latencyQuantile", base.latencyQuantile(), 0.01, 0.999999));
        scope.rejectUnknown();
        return objectives;
    }

    private TargetFacts targets(final FieldScope entry) {
        final Optional<FieldScope> found =
                entry.node("targets").flatMap(node -> FieldScope.of(node, "targets", mFindings));
        if (found.isEmpty()) {
            return TargetFacts.NONE;
        }
        final FieldScope scope = found.get();
        final TargetFacts facts =
                new TargetFacts(
                        (int) scope.number("connections", 0, 0, 1_000_000),
                        scope.number("coldMillis", 0, 0, MAX_TIMEOUT_MILLIS),
                        scope.decimal("coldRatePerSecond", 0, 0, 1_000_000),
                        scope.text("probePath").orElse(""));
        scope.rejectUnknown();
        return facts;
    }

    private CallerLimits callerLimits(final FieldScope root) {
        final Optional<FieldScope> found =
                root.node("callers").flatMap(node -> FieldScope.of(node, "callers", mFindings));
        if (found.isEmpty()) {
            return CallerLimits.DEFAULT;
        }
        final FieldScope scope = found.get();
        final CallerLimits base = CallerLimits.DEFAULT;
        final CallerLimits limits =
                new CallerLimits(
                        (int) scope.number("headBytes", base.headBytes(), 1, 1 << 20),
                        scope.number("bodyBytes", base.bodyBytes(), 0, Long.MAX_VALUE),
                        scope.number(
                                "headTimeoutMillis",
                                base.headTimeoutMillis(),
                                1,
                                MAX_TIMEOUT_MILLIS),
                        scope.number(
                                "idleTimeoutMillis",
                                base.idleTimeoutMillis(),
                                1,
                                MAX_TIMEOUT_MILLIS));
        scope.rejectUnknown();
        return limits;
    }

    private Set<String> names(final FieldScope root, final String field) {
        final Set<String> names = new HashSet<>();
        for (final String name : root.texts(field)) {
            if (!names.add(name)) {
                root.error(root.place(field), "duplicate-name", "'" + name + "' stands twice");
            }
        }
        return names;
    }
}
