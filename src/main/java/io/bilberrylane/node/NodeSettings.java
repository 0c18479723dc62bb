package io.bilberrylane.node;

import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.policy.FleetBounds;
import java.net.URI;
import java.util.Map;
import java.util.Objects;

/**
 * The settings of a node.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre
 * @param regions the region of each data centre; empty when there is one region
 * @param service the service beside the node, which its callers are told to be; may be empty
 * @param addresses where it listens
 * @param platform the platform's address
 * @param workers worker threads
 * @param drainMillis the longest time for calls in progress when leaving, in milliseconds
 * @param bounds what the whole fleet keeps within
 * @param profile how callers, targets and operators speak to the node
 */
public record NodeSettings(
        String host,
        String dataCentre,
        Map<String, String> regions,
        String service,
        NodeAddresses addresses,
        URI platform,
        int workers,
        long drainMillis,
        FleetBounds bounds,
        InterfaceProfile profile) {
    /** Checks that every part is present. */
    public NodeSettings {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(addresses, "addresses is null");
        Objects.requireNonNull(platform, "platform is null");
        Objects.requireNonNull(bounds, "bounds is null");
        Objects.requireNonNull(profile, "profile is null");
        regions = Map.copyOf(regions);
    }
}
