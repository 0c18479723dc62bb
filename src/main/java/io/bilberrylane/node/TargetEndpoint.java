package io.bilberrylane.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.http.LocalEndpoint;
import io.bilberrylane.http.LocalResponse;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;
import java.util.concurrent.CompletionStage;

/** Receives the announcements of the target beside a node. */
final class TargetEndpoint implements LocalEndpoint {
    /** The path prefix of requests to the node itself. */
    static final String PREFIX = "/.bilberrylane/";

    private static final String ANNOUNCEMENT = PREFIX + "announcement";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final LocalResponse ACCEPTED = LocalResponse.json(200, "{\"accepted\":true}");

    private final TargetRegistry mRegistry;

    TargetEndpoint(final TargetRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public CompletionStage<LocalResponse> respond(
            final String method, final String path, final String body) {
        if (!path.equals(ANNOUNCEMENT)) {
            return LocalResponse.json(404, "{\"error\":\"not-found\"}").now();
        }
        return switch (method) {
            case "PUT", "POST" -> announce(body);
            case "DELETE" -> mRegistry.withdraw().thenApply(done -> ACCEPTED);
            default -> LocalResponse.json(405, "{\"error\":\"method-not-allowed\"}").now();
        };
    }

    private CompletionStage<LocalResponse> announce(final String body) {
        try {
            return mRegistry
                    .announce(MAPPER.readValue(body, TargetAnnouncement.class))
                    .thenApply(done -> ACCEPTED);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return LocalResponse.json(
                            400, MAPPER.createObjectNode().put("error", e.getMessage()).toString())
                    .now();
        }
    }
}
