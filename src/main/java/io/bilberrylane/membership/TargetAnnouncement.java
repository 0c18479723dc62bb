package io.bilberrylane.membership;

import java.util.Objects;

/**
 * What a target says of itself.
 *
 * @param service the catalogue entry that it serves
 * @param id its identity, which requests may name; empty when it has none
 * @param address its IP and port
 * @param slots requests that it serves at once when warm
 * @param connections connections that it accepts; 0 when the catalogue says
 * @param coldSlots requests that it bears while cold; 0 when not announced
 * @param warmUpRequests healthy answers until it is warm; 0 when not announced
 * @param incarnation its start, which tells it from an earlier process
 * @param sequence grows with each announcement; 0 when not announced
 * @param leaseMillis how long the announcement holds, in milliseconds
 * @param draining whether it wants no new work
 * @param cold whether it has turned cold again
 * @param coldMillis how much longer it stays cold, in milliseconds; 0 when not announced
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
        long coldMillis) {
    /** Checks that the target can be reached and serves something. */
    public TargetAnnouncement {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        id = id == null ? "" : id;
        if (slots < 1 || leaseMillis < 1) {
            throw new IllegalArgumentException("slots and leaseMillis must be at least 1");
        }
        if (connections < 0 || coldSlots < 0 || warmUpRequests < 0 || coldMillis < 0) {
            throw new IllegalArgumentException("a limit of the announcement is negative");
        }
    }

    /**
     * Returns whether another announcement is of the same process with the same limits.
     *
     * @param other the announcement held so far
     * @return true for a renewal
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
     * @param other the announcement held so far
     * @return true when it must not replace the other
     */
    public boolean isOlderThan(final TargetAnnouncement other) {
        if (incarnation != other.incarnation) {
            return incarnation < other.incarnation;
        }
        return id.equals(other.id) && sequence < other.sequence;
    }
}
