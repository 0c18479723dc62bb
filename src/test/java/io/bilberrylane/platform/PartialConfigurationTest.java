package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RouteMatch;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Replaces random values anywhere in a valid configuration by values of another type. */
final class PartialConfigurationTest {
    private static final int HOSTS = 3;
    private static final int PATHS = 4;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final List<JsonNode> ODD_VALUES =
            List.of(
                    NODES.nullNode(),
                    NODES.numberNode(-1),
                    NODES.numberNode(1e300),
                    NODES.numberNode(Long.MAX_VALUE),
                    NODES.textNode("odd"),
                    NODES.textNode(""),
                    NODES.arrayNode().add(1),
                    NODES.objectNode().put("odd", 1),
                    NODES.booleanNode(true));

    private final PlatformConfigurationFormat mFormat = new PlatformConfigurationFormat();

    private static ObjectNode configuration() {
        final ObjectNode root = NODES.objectNode().put("version", 3);
        root.putArray("services").addObject().put("name", "a").put("healthPath", "/h");
        root.putObject("limits").put("maxHeaderBytes", 16_384).put("idleTimeoutS", 1.5);
        final ArrayNode hosts = root.putArray("virtualHosts");
        for (int host = 0; host < HOSTS; host++) {
            final ObjectNode virtualHost = hosts.addObject().put("host", "h" + host);
            final ArrayNode paths = virtualHost.putArray("paths");
            for (int path = 0; path < PATHS; path++) {
                paths.addObject()
                        .put("pathPrefix", prefix(path))
                        .put("type", "safe")
                        .put("timeoutS", 1.5)
                        .put("targetLatencyS", 0.5)
                        .put("attempts", 2)
                        .put("priority", 1)
                        .put("service", "s" + host + path);
            }
        }
        return root;
    }

    /** Returns prefixes of which each contains the one before. */
    private static String prefix(final int path) {
        return "/" + "p/".repeat(path);
    }

    /** Replaces one value below a route and returns the index of its host and of its path. */
    private static int[] mutateRoute(final ObjectNode root, final Random random) {
        final int host = random.nextInt(HOSTS);
        final int path = random.nextInt(PATHS);
        final ObjectNode route =
                (ObjectNode) root.path("virtualHosts").path(host).path("paths").path(path);
        final List<String> fields =
                List.of(
                        "type",
                        "timeoutS",
                        "targetLatencyS",
                        "attempts",
                        "priority",
                        "service",
                        "trafficSplit",
                        "allowedRegions",
                        "novel");
        final String field = fields.get(random.nextInt(fields.size()));
        if (random.nextInt(4) == 0) {
            route.remove(field);
        } else {
            route.set(field, ODD_VALUES.get(random.nextInt(ODD_VALUES.size())).deepCopy());
        }
        return new int[] {host, path};
    }

    @Property(tries = 2_000, seed = "20261205")
    void shouldKeepAllOtherRoutesWhenOneIsOdd(@ForAll final long seed) {
        final ObjectNode root = configuration();
        final int[] mutated = mutateRoute(root, new Random(seed));
        final CatalogueCheck check = mFormat.check("test", root.toString());
        assertThat(check.isApplicable()).isTrue();
        for (int host = 0; host < HOSTS; host++) {
            for (int path = 0; path < PATHS; path++) {
                final RouteMatch match = check.catalogue().match("h" + host, prefix(path) + "x");
                if (host != mutated[0] || path != mutated[1]) {
                    assertThat(service(match)).isEqualTo("s" + host + path);
                } else if (match instanceof RouteMatch.Found found) {
                    assertThat(found.route().pathPrefix()).isEqualTo(prefix(path));
                } else {
                    assertThat(match).isInstanceOf(RouteMatch.Unusable.class);
                    assertThat(check.findings()).isNotEmpty();
                }
            }
        }
    }

    private static String service(final RouteMatch match) {
        return match instanceof RouteMatch.Found found ? found.route().selectService(0) : "";
    }

    @Property(tries = 2_000, seed = "20261206")
    void shouldNeverThrowWhenAnyValueIsOdd(@ForAll final long seed) throws Exception {
        final Random random = new Random(seed);
        final JsonNode root = new ObjectMapper().readTree(configuration().toString());
        for (int i = 0; i <= random.nextInt(3); i++) {
            replaceSomewhere(root, random);
        }
        final Catalogue catalogue = mFormat.check("test", root.toString()).catalogue();
        for (int host = 0; host < HOSTS; host++) {
            final RouteMatch match = catalogue.match("h" + host, "/p/x");
            if (match instanceof RouteMatch.Found found) {
                final Route route = found.route();
                assertThat(route.timeoutMillis()).isPositive();
            }
        }
    }

    private static void replaceSomewhere(final JsonNode root, final Random random) {
        JsonNode parent = root;
        while (true) {
            final List<JsonNode> containers = new java.util.ArrayList<>();
            parent.forEach(
                    child -> {
                        if (child.isContainerNode()) {
                            containers.add(child);
                        }
                    });
            if (containers.isEmpty() || random.nextInt(3) == 0) {
                break;
            }
            parent = containers.get(random.nextInt(containers.size()));
        }
        final JsonNode odd = ODD_VALUES.get(random.nextInt(ODD_VALUES.size())).deepCopy();
        if (parent instanceof ObjectNode object && !object.isEmpty()) {
            final List<String> names = new java.util.ArrayList<>();
            object.fieldNames().forEachRemaining(names::add);
            object.set(names.get(random.nextInt(names.size())), odd);
        } else if (parent instanceof ArrayNode array && !array.isEmpty()) {
            array.set(random.nextInt(array.size()), odd);
        }
    }
}
