package io.bilberrylane.node;

import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.policy.QuotaBounds;
import io.bilberrylane.policy.RolloutSettings;
import java.net.URI;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of a node.
 *
 * @param host the host name, unique within the fleet
 * @param dataCentre the data centre
 * @param regions the region of each data centre; empty if there is only one region
 * @param service the service beside the node, sent to targets as the name of the node's callers;
 *     may be empty
 * @param addresses the addresses on which the node listens
 * @param platform the base URL of the platform
 * @param workers the number of worker threads
 * @param drainMillis the maximum time for calls in progress to finish when the node leaves, in
 *     milliseconds
 * @param bounds the limits that the fleet as a whole observes
 * @param profile the interface that callers, targets and operators use
 * @param quotaBounds how far the fleet may exceed the limits of organisations
 * @param rollouts the bounds of roll-outs; empty if the node takes part in none
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
        InterfaceProfile profile,
        QuotaBounds quotaBounds,
        Optional<RolloutSettings> rollouts) {
    /** Checks that no component is null and copies the regions. */
    public NodeSettings {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(addresses, "addresses is null");
        Objects.requireNonNull(platform, "platform is null");
        Objects.requireNonNull(bounds, "bounds is null");
        Objects.requireNonNull(profile, "profile is null");
        Objects.requireNonNull(quotaBounds, "quotaBounds is null");
        Objects.requireNonNull(rollouts, "rollouts is null");
        regions = Map.copyOf(regions);
    }

    /**
     * Creates settings with the default bounds on the limits of organisations, of a node that takes
     * part in no roll-outs.
     *
     * @param host the host name, unique within the fleet
     * @param dataCentre the data centre
     * @param regions the region of each data centre
     * @param service the service beside the node
     * @param addresses the addresses on which the node listens
     * @param platform the base URL of the platform
     * @param workers the number of worker threads
     * @param drainMillis the maximum time for calls in progress to finish, in milliseconds
     * @param bounds the limits that the fleet as a whole observes
     * @param profile the interface that callers, targets and operators use
     */
    public NodeSettings(
            final String host,
            final String dataCentre,
            final Map<String, String> regions,
            final String service,
            final NodeAddresses addresses,
            final URI platform,
            final int workers,
            final long drainMillis,
            final FleetBounds bounds,
            final InterfaceProfile profile) {
        this(
                host,
                dataCentre,
                regions,
                service,
                addresses,
                platform,
                workers,
                drainMillis,
                bounds,
                profile,
                QuotaBounds.DEFAULT,
                Optional.empty());
    }
}
