package io.bilberrylane.catalogue;

import java.util.Locale;
import java.util.Optional;

/** The priority class of a service. Queued calls of earlier constants are served first. */
public enum ServiceClass {
    /** A person waits for the response. */
    INTERACTIVE,
    /** Another service waits for the response. */
    STANDARD,
    /** Nothing waits for the response. */
    BATCH;

    /**
     * Returns the class with a name.
     *
     * @param name the name in lower case
     * @return the class, or empty if the name is unknown
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
