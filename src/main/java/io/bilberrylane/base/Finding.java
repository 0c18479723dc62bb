package io.bilberrylane.base;

import java.util.Objects;

/**
 * One thing that a check found.
 *
 * @param severity how grave it is
 * @param place where it is: a file with line and column, or a flag's name
 * @param code a stable code in lower case with hyphens
 * @param message what is wrong, and what would be right
 */
public record Finding(Severity severity, String place, String code, String message) {
    /** Checks that every part is present. */
    public Finding {
        Objects.requireNonNull(severity, "severity is null");
        Objects.requireNonNull(place, "place is null");
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(message, "message is null");
    }

    /**
     * Returns an error.
     *
     * @param place where it is
     * @param code a stable code
     * @param message what is wrong
     * @return the finding
     */
    public static Finding error(final String place, final String code, final String message) {
        return new Finding(Severity.ERROR, place, code, message);
    }

    /**
     * Returns the finding as one line.
     *
     * @return place, severity, message and code
     */
    public String line() {
        return place
                + ": "
                + severity.name().toLowerCase(java.util.Locale.ROOT)
                + ": "
                + message
                + " ["
                + code
                + "]";
    }
}
