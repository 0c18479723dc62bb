package io.bilberrylane.catalogue;

import io.bilberrylane.base.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Reads the fields of one mapping and adds a finding for each invalid field. */
final class MappingReader {
    private final PlacedNode.Mapping mMapping;
    private final List<Finding> mFindings;
    private final Set<String> mKnownFields = new TreeSet<>();

    MappingReader(final PlacedNode.Mapping mapping, final List<Finding> findings) {
        mMapping = mapping;
        mFindings = findings;
    }

    static Optional<MappingReader> of(
            final PlacedNode node, final String subject, final List<Finding> findings) {
        if (node instanceof PlacedNode.Mapping mapping) {
            return Optional.of(new MappingReader(mapping, findings));
        }
        findings.add(Finding.error(node.place(), "not-a-mapping", subject + " must be a mapping"));
        return Optional.empty();
    }

    String place(final String field) {
        final PlacedNode.Field found = mMapping.fields().get(field);
        return found == null ? mMapping.place() : found.place();
    }

    // -- fields

    Optional<PlacedNode> node(final String field) {
        mKnownFields.add(field);
        return Optional.ofNullable(mMapping.fields().get(field)).map(PlacedNode.Field::value);
    }

    Optional<String> text(final String field) {
        return node(field).flatMap(value -> scalar(field, value));
    }

    String requiredText(final String field) {
        final Optional<String> text = text(field).filter(value -> !value.isBlank());
        if (text.isEmpty()) {
            error(mMapping.place(), "missing-field", "field '" + field + "' is required");
        }
        return text.orElse("");
    }

    long number(final String field, final long defaultValue, final long min, final long max) {
        return parse(field, Long::parseLong, "a whole number")
                .filter(value -> isInRange(field, value, min, max))
                .orElse(defaultValue);
    }

    double decimal(
            final String field, final double defaultValue, final double min, final double max) {
        return parse(field, Double::parseDouble, "a number")
                .filter(value -> isInRange(field, value, min, max))
                .orElse(defaultValue);
    }

    boolean flag(final String field, final boolean defaultValue) {
        final Optional<String> text = text(field);
        if (text.isEmpty()) {
            return defaultValue;
        }
        return switch (text.get().trim()) {
            case "true" -> true;
            case "false" -> false;
            default -> {
                error(
                        mMapping.fields().get(field).value().place(),
                        "not-a-flag",
                        "field '" + field + "' must be true or false, not '" + text.get() + "'");
                yield defaultValue;
            }
        };
    }

    List<PlacedNode> items(final String field) {
        final Optional<PlacedNode> found = node(field);
        if (found.isEmpty()) {
            return List.of();
        }
        if (found.get() instanceof PlacedNode.Sequence sequence) {
            return sequence.items();
        }
        error(found.get().place(), "not-a-list", "field '" + field + "' must be a list");
        return List.of();
    }

    List<String> texts(final String field) {
        final List<String> texts = new ArrayList<>();
        items(field).forEach(item -> scalar(field, item).ifPresent(texts::add));
        return texts;
    }

    /** Adds a finding for every field that has not been read. Call it after reading all fields. */
    void reportUnknownFields() {
        for (final Map.Entry<String, PlacedNode.Field> entry : mMapping.fields().entrySet()) {
            if (!mKnownFields.contains(entry.getKey())) {
                error(
                        entry.getValue().place(),
                        "unknown-field",
                        "unknown field '"
                                + entry.getKey()
                                + "'; known fields: "
                                + String.join(", ", mKnownFields));
            }
        }
    }

    void error(final String place, final String code, final String message) {
        mFindings.add(Finding.error(place, code, message));
    }

    // -- values

    private Optional<String> scalar(final String field, final PlacedNode value) {
        if (value instanceof PlacedNode.Scalar scalar) {
            return Optional.of(scalar.text());
        }
        error(
                value.place(),
                "not-a-value",
                "field '" + field + "' must contain only scalar values");
        return Optional.empty();
    }

    private <T> Optional<T> parse(
            final String field, final Function<String, T> parser, final String expected) {
        final Optional<String> text = text(field);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(parser.apply(text.get().trim()));
        } catch (NumberFormatException e) {
            error(
                    mMapping.fields().get(field).value().place(),
                    "not-a-number",
                    "field '" + field + "' must be " + expected + ", not '" + text.get() + "'");
            return Optional.empty();
        }
    }

    private <T extends Number> boolean isInRange(
            final String field, final T value, final T min, final T max) {
        if (value.doubleValue() >= min.doubleValue() && value.doubleValue() <= max.doubleValue()) {
            return true;
        }
        error(
                mMapping.fields().get(field).value().place(),
                "out-of-range",
                "field '" + field + "' must be from " + min + " to " + max);
        return false;
    }
}
