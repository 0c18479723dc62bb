package io.bilberrylane.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Where a target listens and what it bears.
 *
 * @param address IP and port
 * @param connections the most connections that it accepts
 * @param warmConnections connections to keep open
 */
public record TargetAddress(InetSocketAddress address, int connections, int warmConnections) {
    /** Checks that the target accepts a connection. */
    public TargetAddress {
        Objects.requireNonNull(address, "address is null");
        if (connections < 1) {
            throw new IllegalArgumentException("connections is below 1");
        }
    }
}
