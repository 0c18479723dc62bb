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

/** Reads and validates a catalogue in YAML or JSON. */
public final class CatalogueReader {
    /** The supported version of the catalogue format. */
    public static final int SCHEMA = 1;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
    private static final Pattern METHOD = Pattern.compile("[A-Z]+");
    private static final long MAX_BODY_BYTES = 1L << 40;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final long MAX_RESEND_WINDOW_SECONDS = 7 * 86_400;

    private final List<Finding> mFindings = new ArrayList<>();
    private final Map<String, String> mPlaceByHost = new HashMap<>();

    private CatalogueReader() {}

    /**
     * Reads and validates a document.
     *
     * @param file the document's name, used in the places of findings
     * @param text the document in YAML or JSON
     * @return the catalogue and all findings
     */
    public static CatalogueCheck read(final String file, final String text) {
        return new CatalogueReader().check(file, text);
    }

    private CatalogueCheck check(final String file, final String text) {
        final Optional<MappingReader> root =
                new PlacedReader(file, mFindings)
                        .read(text)
                        .flatMap(node -> MappingReader.of(node, "the catalogue", mFindings));
        if (root.isEmpty()) {
            return CatalogueCheck.whole(Catalogue.empty(), mFindings);
        }
        return CatalogueCheck.whole(readCatalogue(root.get()), mFindings);
    }

    private Catalogue readCatalogue(final MappingReader root) {
        final String schema = root.requiredText("schema");
        if (!schema.isEmpty() && !schema.equals(String.valueOf(SCHEMA))) {
            root.error(root.place("schema"), "unknown-schema", "schema must be " + SCHEMA);
        }
        final Catalogue.Builder builder = Catalogue.builder().routeServiceNames();
        final Set<String> services = new HashSet<>();
        for (final PlacedNode node : root.items("services")) {
            MappingReader.of(node, "a service", mFindings)
                    .map(this::readEntry)
                    .ifPresent(
                            entry -> {
                                services.add(entry.service());
                                builder.entry(entry);
                            });
        }
        final RouteReader routes = new RouteReader(services, mFindings);
        root.items("routes").forEach(node -> routes.read(node).ifPresent(builder::route));
        final OrganisationReader organisations = new OrganisationReader(mFindings);
        root.items(OrganisationReader.LIST)
                .forEach(node -> organisations.read(node).ifPresent(builder::organisation));
        builder.callerLimits(callerLimits(root));
        builder.outOfService(uniqueNames(root, "dataCentresOut"), uniqueNames(root, "targetsOut"));
        root.reportUnknownFields();
        return builder.build();
    }

    // -- entries

    private ServiceEntry readEntry(final MappingReader mapping) {
        final String service = name(mapping, "service");
        final List<String> hosts = mapping.texts("hosts");
        registerHost(mapping, "service", service);
        hosts.forEach(host -> registerHost(mapping, "hosts", host));
        final ServiceEntry entry =
                new ServiceEntry(
                        service,
                        mapping.requiredText("owner"),
                        serviceClass(mapping),
                        hosts,
                        idempotentRules(mapping),
                        limits(mapping),
                        mapping.number(
                                "resendWindowSeconds",
                                ServiceEntry.DEFAULT_RESEND_WINDOW_SECONDS,
                                1,
                                MAX_RESEND_WINDOW_SECONDS),
                        mapping.decimal(
                                "probesPerSecond",
                                ServiceEntry.DEFAULT_PROBES_PER_SECOND,
                                0,
                                10_000),
                        objectives(mapping),
                        targetParameters(mapping),
                        overloadByCost(mapping));
        mapping.reportUnknownFields();
        return entry;
    }

    private static boolean overloadByCost(final MappingReader mapping) {
        final String order = mapping.text("overload").orElse("deadline");
        if (!order.equals("cost") && !order.equals("deadline")) {
            mapping.error(
                    mapping.place("overload"),
                    "unknown-order",
                    "overload must be cost or deadline, not '" + order + "'");
        }
        return order.equals("cost");
    }

    private String name(final MappingReader mapping, final String field) {
        final String value = mapping.requiredText(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            mapping.error(
                    mapping.place(field),
                    "bad-name",
                    "'" + value + "' must consist of lower-case letters, digits, dots and hyphens");
        }
        return value;
    }

    private void registerHost(final MappingReader mapping, final String field, final String host) {
        if (host.isEmpty()) {
            return;
        }
        final String previousPlace =
                mPlaceByHost.putIfAbsent(host.toLowerCase(Locale.ROOT), mapping.place(field));
        if (previousPlace != null) {
            mapping.error(
                    mapping.place(field),
                    "duplicate-host",
                    "'" + host + "' is already used by the entry at " + previousPlace);
        }
    }

    private ServiceClass serviceClass(final MappingReader mapping) {
        final String name = mapping.text("class").orElse("standard");
        final Optional<ServiceClass> found = ServiceClass.ofName(name);
        if (found.isEmpty()) {
            mapping.error(
                    mapping.place("class"),
                    "unknown-class",
                    "class must be interactive, standard or batch, not '" + name + "'");
        }
        return found.orElse(ServiceClass.STANDARD);
    }

    private List<IdempotentRule> idempotentRules(final MappingReader mapping) {
        final List<IdempotentRule> rules = new ArrayList<>();
        for (final String text : mapping.texts("idempotent")) {
            final String[] parts = text.trim().split(" +");
            final boolean isValid =
                    parts.length == 2
                            && METHOD.matcher(parts[0]).matches()
                            && parts[1].startsWith("/");
            if (isValid) {
                rules.add(new IdempotentRule(parts[0], parts[1]));
            } else {
                mapping.error(
                        mapping.place("idempotent"),
                        "bad-rule",
                        "'" + text + "' must be a method and a path prefix, such as 'PUT /files'");
            }
        }
        return rules;
    }

    private Limits limits(final MappingReader entry) {
        final Optional<MappingReader> found =
                entry.node("limits").flatMap(node -> MappingReader.of(node, "limits", mFindings));
        if (found.isEmpty()) {
            return Limits.DEFAULT;
        }
        final MappingReader mapping = found.get();
        final Limits defaults = Limits.DEFAULT;
        final int ratePerSecond = (int) mapping.number("ratePerSecond", 0, 0, 1_000_000);
        final int concurrency = (int) mapping.number("concurrency", 0, 0, 1_000_000);
        final long bodyBytes = mapping.number("bodyBytes", defaults.bodyBytes(), 0, MAX_BODY_BYTES);
        final long timeoutMillis =
                mapping.number("timeoutMillis", defaults.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS);
        final long queueMillis =
                mapping.number(
                        "queueMillis",
                        Math.min(defaults.queueMillis(), timeoutMillis),
                        0,
                        MAX_TIMEOUT_MILLIS);
        mapping.reportUnknownFields();
        if (queueMillis > timeoutMillis) {
            mapping.error(
                    mapping.place("queueMillis"),
                    "contradiction",
                    "queueMillis " + queueMillis + " exceeds timeoutMillis " + timeoutMillis);
            return defaults;
        }
        return new Limits(ratePerSecond, concurrency, bodyBytes, timeoutMillis, queueMillis);
    }

    private Objectives objectives(final MappingReader entry) {
        final Optional<MappingReader> found =
                entry.node("objectives")
                        .flatMap(node -> MappingReader.of(node, "objectives", mFindings));
        if (found.isEmpty()) {
            return Objectives.DEFAULT;
        }
        final MappingReader mapping = found.get();
        final Objectives defaults = Objectives.DEFAULT;
        final Objectives objectives =
                new Objectives(
                        mapping.decimal("availability", defaults.availability(), 0.01, 0.999999),
                        mapping.number("latencyMillis", defaults.latencyMillis(), 1, 3_600_000),
                        mapping.decimal(
                                "latencyQuantile", defaults.latencyQuantile(), 0.01, 0.999999));
        mapping.reportUnknownFields();
        return objectives;
    }

    private TargetParameters targetParameters(final MappingReader entry) {
        final Optional<MappingReader> found =
                entry.node("targets").flatMap(node -> MappingReader.of(node, "targets", mFindings));
        if (found.isEmpty()) {
            return TargetParameters.DEFAULT;
        }
        final MappingReader mapping = found.get();
        final TargetParameters parameters =
                new TargetParameters(
                        (int) mapping.number("connections", 0, 0, 1_000_000),
                        mapping.number("coldMillis", 0, 0, MAX_TIMEOUT_MILLIS),
                        mapping.decimal("coldRatePerSecond", 0, 0, 1_000_000),
                        mapping.text("probePath").orElse(""));
        mapping.reportUnknownFields();
        return parameters;
    }

    private CallerLimits callerLimits(final MappingReader root) {
        final Optional<MappingReader> found =
                root.node("callers").flatMap(node -> MappingReader.of(node, "callers", mFindings));
        if (found.isEmpty()) {
            return CallerLimits.DEFAULT;
        }
        final MappingReader mapping = found.get();
        final CallerLimits defaults = CallerLimits.DEFAULT;
        final CallerLimits limits =
                new CallerLimits(
                        (int) mapping.number("headBytes", defaults.headBytes(), 1, 1 << 20),
                        mapping.number("bodyBytes", defaults.bodyBytes(), 0, Long.MAX_VALUE),
                        mapping.number(
                                "headTimeoutMillis",
                                defaults.headTimeoutMillis(),
                                1,
                                MAX_TIMEOUT_MILLIS),
                        mapping.number(
                                "idleTimeoutMillis",
                                defaults.idleTimeoutMillis(),
                                1,
                                MAX_TIMEOUT_MILLIS));
        mapping.reportUnknownFields();
        return limits;
    }

    private Set<String> uniqueNames(final MappingReader root, final String field) {
        final Set<String> names = new HashSet<>();
        for (final String name : root.texts(field)) {
            if (!names.add(name)) {
                root.error(root.place(field), "duplicate-name", "'" + name + "' is listed twice");
            }
        }
        return names;
    }
}
