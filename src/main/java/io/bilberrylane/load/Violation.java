package io.bilberrylane.load;

import java.util.Objects;

/**
 * A broken promise that a run found.
 *
 * @param code what was broken
 * @param detail where it shows
 */
public record Violation(String code, String detail) {
    /** Checks that both parts are present. */
    public Violation {
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(detail, "detail is null");
    }
}
