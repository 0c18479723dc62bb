package io.bilberrylane.platform;

import java.util.Objects;

/**
 * A change of one object.
 *
 * @param object the object after the change; its last state if it was deleted
 * @param deleted whether the object was deleted
 */
public record ObjectEvent(StoredObject object, boolean deleted) {
    /** Checks that the object is not null. */
    public ObjectEvent {
        Objects.requireNonNull(object, "object is null");
    }
}
