package io.bilberrylane.standin;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of a target stand-in.
 *
 * @param service the catalogue entry that it serves
 * @param address where its node connects
 * @param announcedAddress where its node is told to connect, if a proxy stands between
 * @param controlAddress where faults are set and records are read
 * @param nodeAddress where its node takes announcements
 * @param slots requests that it serves at once when warm
 * @param connectionLimit connections that it accepts
 * @param coldSlots requests that it bears while cold
 * @param warmUpRequests requests until it is warm
 * @param serviceMicros mean service time, in microseconds
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
    /** Checks that every part is present. */
    public TargetSettings {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(announcedAddress, "announcedAddress is null");
        Objects.requireNonNull(controlAddress, "controlAddress is null");
        Objects.requireNonNull(nodeAddress, "nodeAddress is null");
    }

    /**
     * Returns the settings of a warm target on ports of its own choice, in the same process as its
     * node.
     *
     * @param service the catalogue entry that it serves
     * @param nodeAddress where its node takes announcements
     * @param serviceMicros mean service time, in microseconds
     * @return settings with 6 slots
     */
    public static TargetSettings onLoopback(
            final String service, final InetSocketAddress nodeAddress, final long serviceMicros) {
        final InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        return new TargetSettings(
                service, any, Optional.empty(), any, nodeAddress, 6, 50, 6, 0, serviceMicros);
    }
}
