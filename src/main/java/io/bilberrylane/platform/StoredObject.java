package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Objects;

/**
 * An object in the platform's object store.
 *
 * @param kind the kind of the object
 * @param name the name, unique within the kind
 * @param version the version; 0 if the object is not stored yet
 * @param spec the value
 * @param status the status, stored beside the value; a JSON null if there is none
 */
public record StoredObject(String kind, String name, long version, JsonNode spec, JsonNode status) {
    /** Checks that no component is null. */
    public StoredObject {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(spec, "spec is null");
        Objects.requireNonNull(status, "status is null");
    }

    /**
     * Returns an object without a status.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param version the version; 0 if the object is not stored yet
     * @param spec the value
     * @return the object
     */
    public static StoredObject of(
            final String kind, final String name, final long version, final JsonNode spec) {
        return new StoredObject(kind, name, version, spec, NullNode.getInstance());
    }
}
