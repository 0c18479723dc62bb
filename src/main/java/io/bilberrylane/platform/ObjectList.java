package io.bilberrylane.platform;

import java.util.List;

/**
 * All objects of a kind at one version.
 *
 * @param version where a watch may start
 * @param items the objects
 */
public record ObjectList(long version, List<StoredObject> items) {
    /** Copies the items. */
    public ObjectList {
        items = List.copyOf(items);
    }
}
