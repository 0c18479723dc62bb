package io.bilberrylane.http;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A request for a connection to a target.
 *
 * @param loop the preferred event loop of the connection; a new one is registered with it
 * @param maxIdleNanos the longest idle time of a connection that is reused, in nanoseconds; 0 if
 *     the connection must be new
 * @param identity the identity of the request to the target; empty if it has none
 * @param onReady receives the connection, on the connection's event loop
 * @param onFailed receives the cause; the target has not received anything
 */
record ConnectionRequest(
        EventLoop loop,
        long maxIdleNanos,
        String identity,
        Consumer<TargetConnection> onReady,
        Consumer<Throwable> onFailed) {
    ConnectionRequest {
        Objects.requireNonNull(loop, "loop is null");
        Objects.requireNonNull(identity, "identity is null");
    }

    /** Returns whether a connection that has no exchange fits this request. */
    boolean isServedBy(final TargetConnection connection, final long nowNanos) {
        return maxIdleNanos > 0
                && connection.idleNanos(nowNanos) <= maxIdleNanos
                && connection.isOpen()
                && !connection.hasCarried(identity);
    }
}
