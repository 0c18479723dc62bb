package io.bilberrylane.node;

import io.bilberrylane.policy.Candidate;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A target and the way to its gate.
 *
 * @param candidate the target as the selector sees it
 * @param peerAddress the gate's address
 */
record TargetRef(Candidate candidate, InetSocketAddress peerAddress) {
    TargetRef {
        Objects.requireNonNull(candidate, "candidate is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
    }
}
