package io.bilberrylane.standin;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of a target stand-in.
 *
 * @param service the name of the service in the catalogue
 * @param address the address that it listens on for its node
 * @param announcedAddress the address that it announces to its node, if a proxy is in between;
 *     empty for the address that it listens on
 * @param controlAddress the address to set faults and read the record
 * @param nodeAddress the address where its node accepts announcements
 * @param slots the maximum number of concurrent requests when warm
 * @param connectionLimit the maximum number of open connections; further ones are closed
 * @param coldSlots the maximum number of concurrent requests while cold; one more resets the
 *     warm-up and makes it reject requests for a while
 * @param warmUpRequests the number of completed requests until it is warm
 * @param serviceMicros the mean service time when warm, in microseconds
 */
public record TargetSettings(
        String service,
        InetSocketAddress address,
        Optional<InetSocketAddress> announcedAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress nodeAddress,
        int slots,
        int connectionLimit,
        int coldSlots,
        int warmUpRequests,
        long serviceMicros) {
    /** Checks that no component is null. */
    public TargetSettings {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(announcedAddress, "announcedAddress is null");
        Objects.requireNonNull(controlAddress, "controlAddress is null");
        Objects.requireNonNull(nodeAddress, "nodeAddress is null");
    }

    /**
     * Returns the settings of a target in the same process as its node, which is warm from the
     * start and listens on loopback ports that the system picks.
     *
     * @param service the name of the service in the catalogue
     * @param nodeAddress the address where its node accepts announcements
     * @param serviceMicros the mean service time, in microseconds
     * @return settings with 6 slots and at most 50 connections
     */
    public static TargetSettings onLoopback(
            final String service, final InetSocketAddress nodeAddress, final long serviceMicros) {
        final InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        return new TargetSettings(
                service, any, Optional.empty(), any, nodeAddress, 6, 50, 6, 0, serviceMicros);
    }
}
