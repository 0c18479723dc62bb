package io.bilberrylane.catalogue;

import io.bilberrylane.base.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Reads the fields of one mapping and collects what is wrong with them. */
final class FieldScope {
    private final PlacedNode.Mapping mMapping;
    private final List<Finding> mFindings;
    private final Set<String> mKnown = new TreeSet<>();

    FieldScope(final PlacedNode.Mapping mapping, final List<Finding> findings) {
        mMapping = mapping;
        mFindings = findings;
    }

    static Optional<FieldScope> of(
            final PlacedNode node, final String what, final List<Finding> findings) {
        if (node instanceof PlacedNode.Mapping mapping) {
            return Optional.of(new FieldScope(mapping, findings));
        }
        findings.add(Finding.error(node.place(), "not-a-mapping", what + " must have fields"));
        return Optional.empty();
    }

    String place(final String field) {
        final PlacedNode.Field found = mMapping.fields().get(field);
        return found == null ? mMapping.place() : found.place();
    }

    // -- fields

    Optional<PlacedNode> node(final String field) {
        mKnown.add(field);
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

    long number(final String field, final long fallback, final long least, final long most) {
        return parsed(field, Long::parseLong, "a whole number")
                .filter(value -> inRange(field, value, least, most))
                .orElse(fallback);
    }

    double decimal(
            final String field, final double fallback, final double least, final double most) {
        return parsed(field, Double::parseDouble, "a number")
                .filter(value -> inRange(field, value, least, most))
                .orElse(fallback);
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

    /** Reports every field that no one asked for. */
    void rejectUnknown() {
        for (final Map.Entry<String, PlacedNode.Field> entry : mMapping.fields().entrySet()) {
            if (!mKnown.contains(entry.getKey())) {
                error(
                        entry.getValue().place(),
                        "unknown-field",
                        "unknown field '"
                                + entry.getKey()
                                + "'; known here: "
                                + String.join(", ", mKnown));
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
        error(value.place(), "not-a-value", "field '" + field + "' must hold single values");
        return Optional.empty();
    }

    private <T> Optional<T> parsed(
            final String field, final Function<String, T> parser, final String what) {
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
                    "field '" + field + "' must be " + what + ", not '" + text.get() + "'");
            return Optional.empty();
        }
    }

    private <T extends Number> boolean inRange(
            final String field, final T value, final T least, final T most) {
        if (value.doubleValue() >= least.doubleValue()
                && value.doubleValue() <= most.doubleValue()) {
            return true;
        }
        error(
                mMapping.fields().get(field).value().place(),
                "out-of-range",
                "field '" + field + "' must be from " + least + " to " + most);
        return false;
    }
}
