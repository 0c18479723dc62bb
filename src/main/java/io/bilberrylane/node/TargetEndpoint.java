package io.bilberrylane.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.http.LocalAnswer;
import io.bilberrylane.http.LocalEndpoint;
import java.util.Optional;

/** Takes the announcements of the target beside a node. */
final class TargetEndpoint implements LocalEndpoint {
    /** The path prefix of requests to the node itself. */
    static final String PREFIX = "/.bilberrylane/";

    private static final String ANNOUNCEMENT = PREFIX + "announcement";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final Gate mGate;
    private final MembershipService mMembership;

    TargetEndpoint(final Gate gate, final MembershipService membership) {
        mGate = gate;
        mMembership = membership;
    }

    @Override
    public LocalAnswer answer(final String method, final String path, final String body) {
        if (!path.equals(ANNOUNCEMENT)) {
            return LocalAnswer.json(404, "{\"error\":\"not-found\"}");
        }
        return switch (method) {
            case "PUT", "POST" -> announce(body);
            case "DELETE" -> withdraw();
            default -> LocalAnswer.json(405, "{\"error\":\"method-not-allowed\"}");
        };
    }

    private LocalAnswer announce(final String body) {
        try {
            final TargetAnnouncement announcement =
                    MAPPER.readValue(body, TargetAnnouncement.class);
            if (mGate.announce(announcement, Addresses.parse(announcement.address()))) {
                mMembership.tellTarget(mGate.record());
            }
            return LocalAnswer.json(200, "{\"accepted\":true}");
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return LocalAnswer.json(
                    400, MAPPER.createObjectNode().put("error", e.getMessage()).toString());
        }
    }

    private LocalAnswer withdraw() {
        if (mGate.withdrawTarget()) {
            mMembership.tellTarget(Optional.empty());
        }
        return LocalAnswer.json(200, "{\"accepted\":true}");
    }
}
