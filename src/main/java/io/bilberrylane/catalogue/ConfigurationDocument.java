package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;

/**
 * A catalogue as it is kept in the platform.
 *
 * @param revision grows by one with every accepted change
 * @param changeId names the change, so that its author recognises it
 * @param author who made the change
 * @param text the catalogue in YAML or JSON
 */
public record ConfigurationDocument(long revision, String changeId, String author, String text) {
    /** The kind of the object. */
    public static final String KIND = "configuration";

    /** The name of the object. */
    public static final String NAME = "catalogue";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Checks that every part is present. */
    public ConfigurationDocument {
        Objects.requireNonNull(changeId, "changeId is null");
        Objects.requireNonNull(author, "author is null");
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Returns the document of an object's value.
     *
     * @param spec the value
     * @return the document
     */
    public static ConfigurationDocument read(final JsonNode spec) {
        return new ConfigurationDocument(
                spec.path("revision").asLong(),
                spec.path("changeId").asText(),
                spec.path("author").asText(),
                spec.path("text").asText());
    }

    /**
     * Returns the value of the object.
     *
     * @return JSON
     */
    public JsonNode toSpec() {
        final ObjectNode spec = MAPPER.createObjectNode();
        spec.put("revision", revision);
        spec.put("changeId", changeId);
        spec.put("author", author);
        spec.put("text", text);
        return spec;
    }
}
