package io.bilberrylane.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.http.LocalEndpoint;
import io.bilberrylane.http.LocalResponse;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;

/** Receives the announcements of the target beside a node. */
final class TargetEndpoint implements LocalEndpoint {
    /** The path prefix of requests to the node itself. */
    static final String PREFIX = "/.bilberrylane/";

    private static final String ANNOUNCEMENT = PREFIX + "announcement";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final TargetRegistry mRegistry;

    TargetEndpoint(final TargetRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public LocalResponse respond(final String method, final String path, final String body) {
        if (!path.equals(ANNOUNCEMENT)) {
            return LocalResponse.json(404, "{\"error\":\"not-found\"}");
        }
        return switch (method) {
            case "PUT", "POST" -> announce(body);
            case "DELETE" -> withdraw();
            default -> LocalResponse.json(405, "{\"error\":\"method-not-allowed\"}");
        };
    }

    private LocalResponse announce(final String body) {
        try {
            mRegistry.announce(MAPPER.readValue(body, TargetAnnouncement.class));
            return LocalResponse.json(200, "{\"accepted\":true}");
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return LocalResponse.json(
                    400, MAPPER.createObjectNode().put("error", e.getMessage()).toString());
        }
    }

    private LocalResponse withdraw() {
        mRegistry.withdraw();
        return LocalResponse.json(200, "{\"accepted\":true}");
    }
}
