package io.bilberrylane.node;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Where a node listens.
 *
 * @param caller where callers connect
 * @param peer where other nodes connect
 * @param target where the target announces itself and sends its calls
 * @param operator where operators connect
 * @param readiness where the platform asks whether the node is ready, if not at the operators'
 */
public record NodeAddresses(
        InetSocketAddress caller,
        InetSocketAddress peer,
        InetSocketAddress target,
        InetSocketAddress operator,
        Optional<InetSocketAddress> readiness) {
    /** Checks that every part is present. */
    public NodeAddresses {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(operator, "operator is null");
        Objects.requireNonNull(readiness, "readiness is null");
    }
}
