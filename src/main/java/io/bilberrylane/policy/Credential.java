package io.bilberrylane.policy;

import io.bilberrylane.catalogue.KeyDigest;
import java.util.Objects;

/** What a request carries to identify its organisation. */
public sealed interface Credential {
    /** The request carries no credential. */
    record Absent() implements Credential {}

    /** The request carries something that is not exactly one key. */
    record Malformed() implements Credential {}

    /**
     * The request carries a key.
     *
     * @param digest the digest of the key
     */
    record Key(KeyDigest digest) implements Credential {
        /** Checks for null. */
        public Key {
            Objects.requireNonNull(digest, "digest is null");
        }
    }
}
