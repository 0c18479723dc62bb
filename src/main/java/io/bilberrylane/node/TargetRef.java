package io.bilberrylane.node;

import io.bilberrylane.policy.Candidate;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A target and the address of its gate.
 *
 * @param candidate the target as a candidate for selection
 * @param peerAddress the peer address of the gate
 */
record TargetRef(Candidate candidate, InetSocketAddress peerAddress) {
    TargetRef {
        Objects.requireNonNull(candidate, "candidate is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
    }
}
