package io.bilberrylane.membership;

import java.util.Objects;

/**
 * A member's summary of its local target, gossiped to the other members.
 *
 * @param service the catalogue entry that it serves
 * @param incarnation the start time of the target itself, in milliseconds since 1970
 * @param slots the number of requests that it serves concurrently
 * @param accepting whether its gate admits new work
 * @param version the version of the program that it runs; empty if not announced
 */
public record TargetRecord(
        String service, long incarnation, int slots, boolean accepting, String version) {
    /** Checks that no text is null. */
    public TargetRecord {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
    }

    /**
     * Creates the record of a target that has announced no version.
     *
     * @param service the catalogue entry that it serves
     * @param incarnation the start time of the target itself, in milliseconds since 1970
     * @param slots the number of requests that it serves concurrently
     * @param accepting whether its gate admits new work
     */
    public TargetRecord(
            final String service,
            final long incarnation,
            final int slots,
            final boolean accepting) {
        this(service, incarnation, slots, accepting, "");
    }
}
