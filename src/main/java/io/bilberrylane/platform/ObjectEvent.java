package io.bilberrylane.platform;

import java.util.Objects;

/**
 * A change of one object.
 *
 * @param object the object, as it was last
 * @param deleted whether it is gone
 */
public record ObjectEvent(StoredObject object, boolean deleted) {
    /** Checks that there is an object. */
    public ObjectEvent {
        Objects.requireNonNull(object, "object is null");
    }
}
