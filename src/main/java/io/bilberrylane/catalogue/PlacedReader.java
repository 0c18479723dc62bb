package io.bilberrylane.catalogue;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.bilberrylane.base.Finding;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses YAML or JSON into a tree of nodes with their places in the file. */
final class PlacedReader {
    private static final YAMLFactory FACTORY = new YAMLFactory();
    private static final int MAX_DEPTH = 32;

    private final String mFile;
    private final List<Finding> mFindings;

    PlacedReader(final String file, final List<Finding> findings) {
        mFile = file;
        mFindings = findings;
    }

    Optional<PlacedNode> read(final String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                mFindings.add(Finding.error(mFile + ":1:1", "empty", "the document is empty"));
                return Optional.empty();
            }
            return Optional.of(node(parser, 0));
        } catch (JsonProcessingException e) {
            mFindings.add(Finding.error(place(e.getLocation()), "syntax", firstLine(e)));
            return Optional.empty();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // -- nodes

    private PlacedNode node(final JsonParser parser, final int depth) throws IOException {
        final String place = place(parser.currentTokenLocation());
        if (depth > MAX_DEPTH) {
            throw new com.fasterxml.jackson.core.JsonParseException(parser, "nested too deeply");
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> mapping(parser, place, depth);
            case START_ARRAY -> sequence(parser, place, depth);
            default -> new PlacedNode.Scalar(place, parser.getText());
        };
    }

    private PlacedNode sequence(final JsonParser parser, final String place, final int depth)
            throws IOException {
        final List<PlacedNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(node(parser, depth + 1));
        }
        return new PlacedNode.Sequence(place, items);
    }

    private PlacedNode mapping(final JsonParser parser, final String place, final int depth)
            throws IOException {
        final Map<String, PlacedNode.Field> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            final String name = parser.currentName();
            final String namePlace = place(parser.currentTokenLocation());
            parser.nextToken();
            final PlacedNode value = node(parser, depth + 1);
            if (fields.putIfAbsent(name, new PlacedNode.Field(namePlace, value)) != null) {
                mFindings.add(
                        Finding.error(
                                namePlace, "duplicate-field", "field '" + name + "' is set twice"));
            }
        }
        return new PlacedNode.Mapping(place, fields);
    }

    // -- places

    private String place(final JsonLocation location) {
        return location == null
                ? mFile + ":1:1"
                : mFile + ":" + location.getLineNr() + ":" + location.getColumnNr();
    }

    private static String firstLine(final JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("malformed document");
    }
}
