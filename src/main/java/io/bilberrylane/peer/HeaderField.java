package io.bilberrylane.peer;

import java.util.Objects;

/**
 * One header field of a call or a response.
 *
 * @param name the field's name
 * @param value the field's value
 */
public record HeaderField(String name, String value) {
    /** Checks that no component is null. */
    public HeaderField {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(value, "value is null");
    }
}
