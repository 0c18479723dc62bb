package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Objects;

/**
 * An object in the platform.
 *
 * @param kind its kind
 * @param name its name, unique within the kind
 * @param version its version; 0 when it has none yet
 * @param spec its value
 * @param status what is said of it besides; null in JSON when nothing is
 */
public record StoredObject(String kind, String name, long version, JsonNode spec, JsonNode status) {
    /** Checks that every part is present. */
    public StoredObject {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(spec, "spec is null");
        Objects.requireNonNull(status, "status is null");
    }

    /**
     * Returns an object without a status.
     *
     * @param kind its kind
     * @param name its name
     * @param version its version
     * @param spec its value
     * @return the object
     */
    public static StoredObject of(
            final String kind, final String name, final long version, final JsonNode spec) {
        return new StoredObject(kind, name, version, spec, NullNode.getInstance());
    }
}
