package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * An object in the platform.
 *
 * @param kind its kind
 * @param name its name, unique in the kind
 * @param version its resource version; grows with every change in the platform
 * @param spec its value
 */
public record StoredObject(String kind, String name, long version, JsonNode spec) {
    /** Checks that every part is present. */
    public StoredObject {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(spec, "spec is null");
    }
}
