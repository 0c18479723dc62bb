package io.bilberrylane.base;

import java.util.Objects;

/**
 * One result of a check.
 *
 * @param severity the severity
 * @param place the location: a file with line and column, or the name of a flag
 * @param code a stable code in lower case with hyphens
 * @param message the fault and the expected value
 */
public record Finding(Severity severity, String place, String code, String message) {
    /** Checks that no component is null. */
    public Finding {
        Objects.requireNonNull(severity, "severity is null");
        Objects.requireNonNull(place, "place is null");
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(message, "message is null");
    }

    /**
     * Returns a finding of severity ERROR.
     *
     * @param place the location
     * @param code a stable code
     * @param message the fault
     * @return the finding
     */
    public static Finding error(final String place, final String code, final String message) {
        return new Finding(Severity.ERROR, place, code, message);
    }

    /**
     * Returns a finding of severity WARNING.
     *
     * @param place the location
     * @param code a stable code
     * @param message the fault
     * @return the finding
     */
    public static Finding warning(final String place, final String code, final String message) {
        return new Finding(Severity.WARNING, place, code, message);
    }

    /**
     * Formats the finding as one line.
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
