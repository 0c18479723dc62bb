package io.bilberrylane.membership;

import java.util.Objects;

/**
 * A member's summary of its local target, gossiped to the other members.
 *
 * @param service the catalogue entry that it serves
 * @param incarnation the start time of the target itself, in milliseconds since 1970
 * @param slots the number of requests that it serves concurrently
 * @param accepting whether its gate admits new work
 */
public record TargetRecord(String service, long incarnation, int slots, boolean accepting) {
    /** Checks that the service is not null. */
    public TargetRecord {
        Objects.requireNonNull(service, "service is null");
    }
}
