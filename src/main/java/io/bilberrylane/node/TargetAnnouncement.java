package io.bilberrylane.node;

import java.util.Objects;

/**
 * What a target says of itself.
 *
 * @param service the catalogue entry that it serves
 * @param address its IP and port as text
 * @param slots requests that it serves at once when warm
 * @param connections connections that it accepts
 * @param coldSlots requests that it bears while cold
 * @param warmUpRequests requests until it is warm; 0 when it does not know
 * @param incarnation its own start, in milliseconds since 1970
 * @param leaseMillis how long the announcement holds without a renewal, in milliseconds
 * @param draining whether it wants no new work
 * @param cold whether it says that it is cold now
 */
public record TargetAnnouncement(
        String service,
        String address,
        int slots,
        int connections,
        int coldSlots,
        int warmUpRequests,
        long incarnation,
        long leaseMillis,
        boolean draining,
        boolean cold) {
    /** Checks that the target can be reached and serves something. */
    public TargetAnnouncement {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        if (slots < 1
                || connections < 1
                || coldSlots < 0
                || warmUpRequests < 0
                || leaseMillis < 1) {
            throw new IllegalArgumentException(
                    "slots, connections and leaseMillis must be at least 1, others at least 0");
        }
    }

    /**
     * Returns whether another announcement is of the same process with the same limits.
     *
     * @param other the announcement held so far
     * @return true when no state needs to be made anew
     */
    public boolean isRenewalOf(final TargetAnnouncement other) {
        return service.equals(other.service)
                && address.equals(other.address)
                && incarnation == other.incarnation
                && slots == other.slots
                && connections == other.connections;
    }
}
