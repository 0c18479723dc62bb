package io.bilberrylane.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The address of a target and the size of its connection pool.
 *
 * @param address IP and port
 * @param connectionLimit the maximum number of connections that the target accepts
 * @param minIdleConnections the number of idle connections to keep open
 */
public record TargetPoolSettings(
        InetSocketAddress address, int connectionLimit, int minIdleConnections) {
    /** Checks that the address is not null and that at least one connection is allowed. */
    public TargetPoolSettings {
        Objects.requireNonNull(address, "address is null");
        if (connectionLimit < 1) {
            throw new IllegalArgumentException("connectionLimit is below 1");
        }
    }
}
