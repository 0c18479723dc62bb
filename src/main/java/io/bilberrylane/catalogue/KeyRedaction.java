package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.base.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Replaces the plain keys of a catalogue by their digests, for nodes that hand it on. */
final class KeyRedaction {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private KeyRedaction() {}

    /**
     * Returns a catalogue of the same meaning without plain keys.
     *
     * @param text the catalogue in YAML or JSON
     * @return the text itself if it has no plain key or is invalid, which no node applies;
     *     otherwise a JSON document
     */
    static String redact(final String text) {
        final List<Finding> findings = new ArrayList<>();
        final Optional<PlacedNode> root = new PlacedReader("catalogue", findings).read(text);
        if (root.isEmpty() || !hasPlainKey(root.get())) {
            return text;
        }
        return CatalogueReader.read("catalogue", text).isValid()
                ? json(root.get(), false).toString()
                : text;
    }

    private static boolean hasPlainKey(final PlacedNode root) {
        for (final PlacedNode organisation : items(field(root, OrganisationReader.LIST))) {
            for (final PlacedNode key : items(field(organisation, OrganisationReader.KEYS))) {
                if (key instanceof PlacedNode.Scalar scalar
                        && !scalar.text().startsWith(OrganisationReader.DIGEST_PREFIX)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static Optional<PlacedNode> field(final PlacedNode node, final String name) {
        return node instanceof PlacedNode.Mapping mapping
                ? Optional.ofNullable(mapping.fields().get(name)).map(PlacedNode.Field::value)
                : Optional.empty();
    }

    private static List<PlacedNode> items(final Optional<PlacedNode> node) {
        return node.isPresent() && node.get() instanceof PlacedNode.Sequence sequence
                ? sequence.items()
                : List.of();
    }

    /** Returns a node as JSON; only organisations have a field of the name of the keys. */
    private static JsonNode json(final PlacedNode node, final boolean isKey) {
        return switch (node) {
            case PlacedNode.Scalar scalar ->
                    NODES.textNode(isKey ? digestText(scalar.text()) : scalar.text());
            case PlacedNode.Sequence sequence -> {
                final ArrayNode array = NODES.arrayNode();
                sequence.items().forEach(item -> array.add(json(item, isKey)));
                yield array;
            }
            case PlacedNode.Mapping mapping -> {
                final ObjectNode object = NODES.objectNode();
                mapping.fields()
                        .forEach(
                                (name, field) ->
                                        object.set(
                                                name,
                                                json(
                                                        field.value(),
                                                        name.equals(OrganisationReader.KEYS))));
                yield object;
            }
        };
    }

    private static String digestText(final String key) {
        return OrganisationReader.digestOf(key)
                .map(digest -> OrganisationReader.DIGEST_PREFIX + digest.hex())
                .orElse(key);
    }
}
