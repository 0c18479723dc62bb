package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads a required, non-empty text field of a JSON object. */
final class FieldText {
    private FieldText() {}

    static String of(final JsonNode parent, final String field) {
        final JsonNode node = parent.path(field);
        if (!node.isTextual() || node.asText().isEmpty()) {
            throw new IllegalArgumentException(field + " is no text");
        }
        return node.asText();
    }
}
