package io.bilberrylane.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.List;

/** How objects stand in JSON on the platform's API. */
public final class ObjectJson {
    /** The path that all kinds stand under. */
    public static final String BASE_PATH = "/apis/bilberrylane/v1/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ObjectJson() {}

    /**
     * Returns the JSON of an object.
     *
     * @param object the object
     * @return a document
     */
    public static ObjectNode write(final StoredObject object) {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("kind", object.kind());
        root.putObject("metadata")
                .put("name", object.name())
                .put("resourceVersion", String.valueOf(object.version()));
        root.set("spec", object.spec());
        return root;
    }

    /**
     * Returns the object of a document.
     *
     * @param root the document
     * @return the object
     * @throws BilberrylaneException with PLATFORM_UNAVAILABLE when it is no object
     */
    public static StoredObject read(final JsonNode root) {
        final JsonNode metadata = root.path("metadata");
        if (!root.has("spec") || !metadata.has("name")) {
            throw new BilberrylaneException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the platform sent no object");
        }
        return new StoredObject(
                root.path("kind").asText(),
                metadata.path("name").asText(),
                metadata.path("resourceVersion").asLong(),
                root.path("spec"));
    }

    /**
     * Returns the list of a document.
     *
     * @param root the document
     * @return the list
     */
    public static ObjectList readList(final JsonNode root) {
        final List<StoredObject> items = new ArrayList<>();
        root.path("items").forEach(item -> items.add(read(item)));
        return new ObjectList(root.path("metadata").path("resourceVersion").asLong(), items);
    }

    /**
     * Returns the document of a text.
     *
     * @param text JSON
     * @return the document
     * @throws BilberrylaneException with PLATFORM_UNAVAILABLE when it is no JSON
     */
    public static JsonNode parse(final String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new BilberrylaneException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the platform sent no JSON", e);
        }
    }
}
