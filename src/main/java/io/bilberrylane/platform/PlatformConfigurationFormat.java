package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.Finding;
import io.bilberrylane.catalogue.CallerLimits;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RunRule;
import io.bilberrylane.catalogue.ServiceEntry;
import io.bilberrylane.catalogue.TargetParameters;
import io.bilberrylane.catalogue.UnusableRoute;
import io.bilberrylane.catalogue.WeightedService;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the configuration that the platform's operator writes. Some wire names differ from this
 * project's terms:
 *
 * <ul>
 *   <li>{@code evacuations}: the kind of the objects that take a data centre out of service
 *   <li>{@code version} in the value: the ID of the operator's change, not the object's version
 *   <li>{@code targetLatencyS}: the latency objective of a route, not a latency of a target
 *   <li>{@code type}: the run rule of a route; {@code safe} and {@code download} calls are
 *       repeatable, all others run at most once; {@code download} has large responses
 *   <li>{@code attempts}: the maximum number of targets that one call may be sent to
 *   <li>{@code coldStartS}: how long a started target stays cold, in seconds
 *   <li>{@code coldPerS}: the requests per second that a cold target accepts; 0 if unlimited
 *   <li>{@code durationS}: the time within which a roll-out must be completed, in seconds
 *   <li>{@code healthPath}: the path on which targets are probed for their state
 * </ul>
 *
 * <p>The platform has accepted the document before nodes read it, so an element that cannot be
 * understood is left out with a finding, and the rest is applied.
 */
final class PlatformConfigurationFormat implements ConfigurationFormat {
    static final String KIND = "config";
    static final String NAME = "main";
    private static final String OUTAGE_KIND = "evacuations";
    private static final RolloutFormat ROLLOUTS =
            new RolloutFormat("targetVersion", "durationS", "rolled_back");
    private static final String DOWNLOAD = "download";
    private static final double MAX_SECONDS = 86_400;

    @Override
    public String kind() {
        return KIND;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Optional<String> outageKind() {
        return Optional.of(OUTAGE_KIND);
    }

    @Override
    public RolloutFormat rollouts() {
        return ROLLOUTS;
    }

    @Override
    public ConfigurationDocument document(final long version, final JsonNode spec) {
        return new ConfigurationDocument(
                version,
                spec.path("version").asText(),
                "operator",
                PlatformOrganisations.withDigests(spec).toString());
    }

    @Override
    public CatalogueCheck check(final String place, final String text) {
        final List<Finding> findings = new ArrayList<>();
        final Catalogue.Builder builder = Catalogue.builder();
        try {
            final JsonNode root = ObjectJson.parse(text);
            read(place, root, builder, findings);
        } catch (BilberrylaneException e) {
            findings.add(Finding.error(place, "unreadable", e.getMessage()));
        }
        return CatalogueCheck.partial(builder.build(), findings);
    }

    private static void read(
            final String place,
            final JsonNode root,
            final Catalogue.Builder builder,
            final List<Finding> findings) {
        if (!root.path("services").isArray()) {
            findings.add(Finding.error(place, "missing-field", "field 'services' is required"));
        }
        int index = 0;
        for (final JsonNode service : elements(root, "services", place, findings)) {
            final String elementPlace = place + " services[" + index++ + "]";
            collectFinding(elementPlace, findings, () -> builder.entry(entry(service)));
        }
        collectFinding(
                place + " limits",
                findings,
                () -> builder.callerLimits(callerLimits(root.path("limits"))));
        new PlatformOrganisations(builder, findings).read(root, place);
        index = 0;
        for (final JsonNode virtualHost : elements(root, "virtualHosts", place, findings)) {
            readHost(place + " virtualHosts[" + index++ + "]", virtualHost, builder, findings);
        }
    }

    private static void readHost(
            final String place,
            final JsonNode virtualHost,
            final Catalogue.Builder builder,
            final List<Finding> findings) {
        int index = 0;
        for (final JsonNode path : elements(virtualHost, "paths", place, findings)) {
            final String elementPlace = place + " paths[" + index++ + "]";
            final boolean read =
                    collectFinding(
                            elementPlace,
                            findings,
                            () ->
                                    builder.route(
                                            route(
                                                    hostName(virtualHost),
                                                    path,
                                                    elementPlace,
                                                    findings)));
            if (!read) {
                unusableRoute(virtualHost, path).ifPresent(builder::unusableRoute);
            }
        }
    }

    private static Optional<UnusableRoute> unusableRoute(
            final JsonNode virtualHost, final JsonNode path) {
        final String prefix = path.path("pathPrefix").asText("");
        final JsonNode host = virtualHost.path("host");
        return host.isTextual() && !host.asText().isEmpty() && prefix.startsWith("/")
                ? Optional.of(new UnusableRoute(hostName(virtualHost), prefix))
                : Optional.empty();
    }

    /** Returns the elements of a list, or nothing with a finding if the field is no list. */
    private static Iterable<JsonNode> elements(
            final JsonNode parent,
            final String field,
            final String place,
            final List<Finding> findings) {
        final JsonNode node = parent.path(field);
        if (!node.isMissingNode() && !node.isArray()) {
            findings.add(Finding.error(place + " " + field, "not-a-list", "a list is expected"));
            return List.of();
        }
        return node;
    }

    /** Returns whether an element was read without an error. */
    private static boolean collectFinding(
            final String place, final List<Finding> findings, final Runnable reader) {
        try {
            reader.run();
            return true;
        } catch (IllegalArgumentException e) {
            findings.add(Finding.error(place, "bad-value", e.getMessage()));
            return false;
        }
    }

    // -- elements

    private static ServiceEntry entry(final JsonNode service) {
        return ServiceEntry.of(
                FieldText.of(service, "name"),
                new TargetParameters(
                        service.path("maxConnections").asInt(),
                        millis(service, "coldStartS", 0),
                        service.path("coldPerS").asDouble(),
                        service.path("healthPath").asText()));
    }

    private static CallerLimits callerLimits(final JsonNode limits) {
        final CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                limits.path("maxHeaderBytes").asInt(defaults.headBytes()),
                limits.path("maxBodyBytes").asLong(defaults.bodyBytes()),
                millis(limits, "headerTimeoutS", defaults.headTimeoutMillis()),
                millis(limits, "idleTimeoutS", defaults.idleTimeoutMillis()));
    }

    private static String hostName(final JsonNode virtualHost) {
        return FieldText.of(virtualHost, "host").toLowerCase(Locale.ROOT);
    }

    private static Route route(
            final String host,
            final JsonNode route,
            final String place,
            final List<Finding> findings) {
        final long timeoutMillis = millis(route, "timeoutS", 0);
        final String type = route.path("type").asText("");
        return new Route(
                host,
                FieldText.of(route, "pathPrefix"),
                weightedServices(route),
                runRule(type, place, findings),
                timeoutMillis,
                millis(route, "targetLatencyS", timeoutMillis),
                Math.max(1, route.path("attempts").asInt(1)),
                Math.max(0, route.path("priority").asInt(0)),
                regions(route),
                type.equals(DOWNLOAD),
                isPublic(route, place, findings));
    }

    /** Returns whether a route is public; one whose field is no boolean is not. */
    private static boolean isPublic(
            final JsonNode route, final String place, final List<Finding> findings) {
        final JsonNode node = route.path("public");
        if (!node.isMissingNode() && !node.isNull() && !node.isBoolean()) {
            findings.add(
                    Finding.warning(place, "not-a-flag", "public is no boolean; keys are needed"));
        }
        return node.isBoolean() && node.asBoolean();
    }

    /** Returns the run rule of a type; calls of an unknown type run at most once. */
    private static RunRule runRule(
            final String type, final String place, final List<Finding> findings) {
        return switch (type) {
            case "safe", DOWNLOAD -> RunRule.REPEATABLE;
            case "unsafe", "upload" -> RunRule.ONCE;
            default -> {
                findings.add(
                        Finding.warning(
                                place,
                                "unknown-type",
                                "type '" + type + "' is unknown; its calls run at most once"));
                yield RunRule.ONCE;
            }
        };
    }

    private static List<WeightedService> weightedServices(final JsonNode route) {
        final List<WeightedService> services = new ArrayList<>();
        for (final JsonNode split : route.path("trafficSplit")) {
            services.add(
                    new WeightedService(
                            FieldText.of(split, "service"), split.path("weight").asDouble()));
        }
        if (services.isEmpty()) {
            services.add(new WeightedService(FieldText.of(route, "service"), 1));
        }
        return services;
    }

    private static Set<String> regions(final JsonNode route) {
        final Set<String> regions = new HashSet<>();
        route.path("allowedRegions").forEach(region -> regions.add(region.asText()));
        return regions;
    }

    // -- values

    /** Returns a field in seconds, which may have a fraction, as milliseconds. */
    private static long millis(final JsonNode parent, final String field, final long fallback) {
        final JsonNode node = parent.path(field);
        if (!node.isNumber()) {
            return fallback;
        }
        final double seconds = node.asDouble();
        if (!(seconds >= 0 && seconds <= MAX_SECONDS)) {
            throw new IllegalArgumentException(field + " is not from 0 to " + MAX_SECONDS);
        }
        return Math.round(seconds * 1_000);
    }
}
