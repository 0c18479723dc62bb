package io.bilberrylane.membership;

import java.util.Objects;

/**
 * A target's announcement of its service, address, limits and state.
 *
 * @param service the catalogue entry that it serves
 * @param id its identity, which requests may name; empty if it has none
 * @param address its IP address and port
 * @param slots the number of requests that it serves concurrently when warm
 * @param connections the number of connections that it accepts; 0 if the catalogue sets it
 * @param coldSlots the number of requests that it serves concurrently while cold; 0 if not
 *     announced
 * @param warmUpRequests the number of healthy responses until it is warm; 0 if not announced
 * @param incarnation the start of its process, which distinguishes it from an earlier one
 * @param sequence increases with each announcement; 0 if not announced
 * @param leaseMillis how long the announcement is valid unless renewed, in milliseconds
 * @param draining whether it requests no new work
 * @param cold whether it has become cold again
 * @param coldMillis how much longer it stays cold, in milliseconds; 0 if not announced
 * @param version the version of the program that it runs; empty if not announced
 */
public record TargetAnnouncement(
        String service,
        String id,
        String address,
        int slots,
        int connections,
        int coldSlots,
        int warmUpRequests,
        long incarnation,
        long sequence,
        long leaseMillis,
        boolean draining,
        boolean cold,
        long coldMillis,
        String version) {
    /** Checks that service and address are present and the limits valid; id may be null. */
    public TargetAnnouncement {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        id = id == null ? "" : id;
        version = version == null ? "" : version;
        if (slots < 1 || leaseMillis < 1) {
            throw new IllegalArgumentException("slots and leaseMillis must be at least 1");
        }
        if (connections < 0 || coldSlots < 0 || warmUpRequests < 0 || coldMillis < 0) {
            throw new IllegalArgumentException("a limit of the announcement is negative");
        }
    }

    /**
     * Returns whether this announcement renews another one: from the same process, with the same
     * slots and connections.
     *
     * @param other the announcement stored so far
     * @return true if this is a renewal
     */
    public boolean isRenewalOf(final TargetAnnouncement other) {
        return service.equals(other.service)
                && id.equals(other.id)
                && address.equals(other.address)
                && incarnation == other.incarnation
                && slots == other.slots
                && connections == other.connections;
    }

    /**
     * Returns whether this announcement was made before another one of the same host.
     *
     * @param other the announcement stored so far
     * @return true if this announcement must not replace the other
     */
    public boolean isOlderThan(final TargetAnnouncement other) {
        if (incarnation != other.incarnation) {
            return incarnation < other.incarnation;
        }
        return id.equals(other.id) && sequence < other.sequence;
    }
}
