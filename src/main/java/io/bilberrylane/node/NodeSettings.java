package io.bilberrylane.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

/**
 * The settings of a node.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre
 * @param callerAddress where callers connect
 * @param peerAddress where other nodes connect, by TCP and UDP
 * @param targetAddress where the target announces itself and sends its own calls
 * @param operatorAddress where operators read health, metrics and status
 * @param platform the platform's address
 * @param workers the number of worker threads
 * @param drainMillis the longest time for calls in progress when the node leaves, in milliseconds
 */
public record NodeSettings(
        String host,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress targetAddress,
        InetSocketAddress operatorAddress,
        URI platform,
        int workers,
        long drainMillis) {
    /** Checks that every part is present. */
    public NodeSettings {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(callerAddress, "callerAddress is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(targetAddress, "targetAddress is null");
        Objects.requireNonNull(operatorAddress, "operatorAddress is null");
        Objects.requireNonNull(platform, "platform is null");
    }
}
