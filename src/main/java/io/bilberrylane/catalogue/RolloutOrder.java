package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * An operator's order to move the calls of a service to targets of a new version.
 *
 * @param service the service
 * @param revision the revision of the object that holds the order
 * @param version the new version
 * @param durationMillis the time within which the move must be completed, in milliseconds
 * @param state the state that the object's status holds
 */
public record RolloutOrder(
        String service, long revision, String version, long durationMillis, RolloutState state) {
    /** The longest time for a roll-out, in milliseconds. */
    public static final long MAX_DURATION_MILLIS = 86_400_000;

    /** Checks that no text is empty and the duration is valid. */
    public RolloutOrder {
        Objects.requireNonNull(state, "state is null");
        if (service.isEmpty() || version.isEmpty()) {
            throw new IllegalArgumentException("service or target version is empty");
        }
        if (durationMillis < 1 || durationMillis > MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException("the duration is outside 1 ms to 1 day");
        }
    }
}
