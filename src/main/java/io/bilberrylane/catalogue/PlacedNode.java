package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Map;

/** A node of a document's syntax tree and its place in the file. */
sealed interface PlacedNode {
    /** Returns the place as {@code file:line:column}; lines and columns are counted from 1. */
    String place();

    /** A scalar value. */
    record Scalar(String place, String text) implements PlacedNode {}

    /** A sequence of nodes. */
    record Sequence(String place, List<PlacedNode> items) implements PlacedNode {}

    /** A mapping from names to fields, in the order of the document. */
    record Mapping(String place, Map<String, Field> fields) implements PlacedNode {}

    /** A field of a mapping. {@code place} is the place of its name. */
    record Field(String place, PlacedNode value) {}
}
