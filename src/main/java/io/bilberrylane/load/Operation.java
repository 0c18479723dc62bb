package io.bilberrylane.load;

import java.util.Objects;

/**
 * One kind of call that users make.
 *
 * @param kind what it is
 * @param service the catalogue entry
 * @param method the HTTP method
 * @param path the path
 * @param weight its share of the mix, relative to the others
 */
public record Operation(Kind kind, String service, String method, String path, int weight) {
    /** What a call is to its user. */
    public enum Kind {
        /** Reads something; may run more than once. */
        LOOKUP,
        /** Registers or books something; carries an idempotency key. */
        REGISTRATION,
        /** Sends a long body; carries an idempotency key. */
        UPLOAD
    }

    /** Checks that every part is present. */
    public Operation {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
    }

    /**
     * Returns whether a call of this kind carries an idempotency key.
     *
     * @return false for lookups
     */
    public boolean isKeyed() {
        return kind != Kind.LOOKUP;
    }
}
