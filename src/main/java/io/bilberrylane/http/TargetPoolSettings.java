package io.bilberrylane.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Where a target listens and what it bears.
 *
 * @param address IP and port
 * @param connectionLimit the most connections that it accepts
 * @param minIdleConnections connections to keep open
 */
public record TargetPoolSettings(
        InetSocketAddress address, int connectionLimit, int minIdleConnections) {
    /** Checks that the target accepts a connection. */
    public TargetPoolSettings {
        Objects.requireNonNull(address, "address is null");
        if (connectionLimit < 1) {
            throw new IllegalArgumentException("connections is below 1");
        }
    }
}
