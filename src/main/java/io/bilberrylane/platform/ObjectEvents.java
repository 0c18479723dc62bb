package io.bilberrylane.platform;

import java.util.List;

/**
 * All changes of a kind up to one version.
 *
 * @param version where to continue
 * @param events the changes, the oldest first
 */
public record ObjectEvents(long version, List<ObjectEvent> events) {
    /** Copies the events. */
    public ObjectEvents {
        events = List.copyOf(events);
    }
}
