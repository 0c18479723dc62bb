package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;

/**
 * A revision of the catalogue as it is stored in the platform.
 *
 * @param revision the revision number; increases by one with every accepted change
 * @param changeId the identifier of the change, by which its author recognises it
 * @param author the author of the change
 * @param text the catalogue in YAML or JSON
 */
public record ConfigurationDocument(long revision, String changeId, String author, String text) {
    /** The kind of the platform object that stores the catalogue. */
    public static final String KIND = "configuration";

    /** The name of the platform object that stores the catalogue. */
    public static final String NAME = "catalogue";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Checks that no component is null. */
    public ConfigurationDocument {
        Objects.requireNonNull(changeId, "changeId is null");
        Objects.requireNonNull(author, "author is null");
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Reads a document from the {@code spec} of a platform object.
     *
     * @param spec the object's {@code spec}
     * @return the document; a missing field reads as 0 or as an empty string
     */
    public static ConfigurationDocument read(final JsonNode spec) {
        return new ConfigurationDocument(
                spec.path("revision").asLong(),
                spec.path("changeId").asText(),
                spec.path("author").asText(),
                spec.path("text").asText());
    }

    /**
     * Returns the document as the {@code spec} of a platform object.
     *
     * @return a JSON object
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
