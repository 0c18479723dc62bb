package io.bilberrylane.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.ResponseHead;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;

/**
 * The response of a finished run, stored for resends of its key.
 *
 * @param head the status and headers
 * @param body the body in Base64
 * @param requestDigest the SHA-256 digest of the request's body, in hexadecimal
 */
record StoredResponse(ResponseHead head, String body, String requestDigest) {
    /** A response with a longer body is not stored. */
    static final int MAX_BODY_BYTES = 32 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    StoredResponse {
        Objects.requireNonNull(head, "head is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(requestDigest, "requestDigest is null");
    }

    static StoredResponse of(
            final ResponseHead head, final byte[] body, final String requestDigest) {
        return new StoredResponse(head, Base64.getEncoder().encodeToString(body), requestDigest);
    }

    byte[] bodyBytes() {
        return Base64.getDecoder().decode(body);
    }

    // -- JSON format

    ObjectNode toJson() {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("status", head.status());
        root.put("body", body);
        root.put("requestDigest", requestDigest);
        final ArrayNode headers = root.putArray("headers");
        for (final HeaderField field : head.headers()) {
            headers.addObject().put("name", field.name()).put("value", field.value());
        }
        return root;
    }

    static StoredResponse read(final JsonNode root) {
        final List<HeaderField> headers = new ArrayList<>();
        for (final JsonNode field : root.path("headers")) {
            headers.add(new HeaderField(field.path("name").asText(), field.path("value").asText()));
        }
        return new StoredResponse(
                ResponseHead.of(root.path("status").asInt(), headers),
                root.path("body").asText(),
                root.path("requestDigest").asText());
    }
}
