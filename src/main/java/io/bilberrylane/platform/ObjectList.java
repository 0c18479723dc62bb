package io.bilberrylane.platform;

import java.util.List;

/**
 * All objects of a kind at one store version.
 *
 * @param version the store version after which a watch may start
 * @param items the objects
 */
public record ObjectList(long version, List<StoredObject> items) {
    /** Copies the items. */
    public ObjectList {
        items = List.copyOf(items);
    }
}
