package io.bilberrylane.node;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The addresses on which a node listens.
 *
 * @param caller the address for callers
 * @param peer the address for other nodes
 * @param target the address for the target's announcements and for the calls that the target makes
 * @param operator the address for operators
 * @param readiness the address for the platform's readiness checks; empty if the platform uses the
 *     operator address
 */
public record NodeAddresses(
        InetSocketAddress caller,
        InetSocketAddress peer,
        InetSocketAddress target,
        InetSocketAddress operator,
        Optional<InetSocketAddress> readiness) {
    /** Checks that no component is null. */
    public NodeAddresses {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(operator, "operator is null");
        Objects.requireNonNull(readiness, "readiness is null");
    }
}
