package io.bilberrylane.node;

import io.bilberrylane.policy.Candidate;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A target and the address of its gate.
 *
 * @param candidate the target as a candidate for selection
 * @param peerAddress the peer address of the gate
 * @param version the version of the target; empty if not announced
 */
record TargetRef(Candidate candidate, InetSocketAddress peerAddress, String version) {
    TargetRef {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(candidate, "candidate is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
    }

    TargetRef(final Candidate candidate, final InetSocketAddress peerAddress) {
        this(candidate, peerAddress, "");
    }
}
