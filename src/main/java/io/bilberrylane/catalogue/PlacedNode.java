package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Map;

/** A part of a document together with its place. */
sealed interface PlacedNode {
    /** Returns the file with line and column, counted from 1. */
    String place();

    /** A single value. */
    record Scalar(String place, String text) implements PlacedNode {}

    /** A list of values. */
    record Sequence(String place, List<PlacedNode> items) implements PlacedNode {}

    /** Named values in their order. */
    record Mapping(String place, Map<String, Field> fields) implements PlacedNode {}

    /** A named value. */
    record Field(String place, PlacedNode value) {}
}
