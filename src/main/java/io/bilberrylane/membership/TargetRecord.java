package io.bilberrylane.membership;

import java.util.Objects;

/**
 * What a member says of the target beside it.
 *
 * @param service the catalogue entry that it serves
 * @param incarnation the target's own start, in milliseconds since 1970
 * @param slots requests that it serves at once
 * @param accepting whether its gate admits new work
 */
public record TargetRecord(String service, long incarnation, int slots, boolean accepting) {
    /** Checks that there is a service. */
    public TargetRecord {
        Objects.requireNonNull(service, "service is null");
    }
}
