package io.bilberrylane.platform;

import java.util.List;

/**
 * The changes to the objects of a kind up to one store version.
 *
 * @param version the store version after which the next watch continues
 * @param events the changes, oldest first
 */
public record ObjectEvents(long version, List<ObjectEvent> events) {
    /** Copies the events. */
    public ObjectEvents {
        events = List.copyOf(events);
    }
}
