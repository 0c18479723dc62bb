package io.bilberrylane.catalogue;

import java.util.Locale;
import java.util.Optional;

/** The order in which waiting calls are served; earlier classes go first. */
public enum ServiceClass {
    /** People wait for the answer. */
    INTERACTIVE,
    /** Other services wait for the answer. */
    STANDARD,
    /** Nobody waits. */
    BATCH;

    /**
     * Returns the class of a name.
     *
     * @param name in lower case
     * @return the class, or nothing when the name is unknown
     */
    public static Optional<ServiceClass> ofName(final String name) {
        for (final ServiceClass value : values()) {
            if (value.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Optional.of(value);
            }
        }
        return Optional.empty();
    }
}
