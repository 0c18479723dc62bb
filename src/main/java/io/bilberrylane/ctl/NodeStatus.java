package io.bilberrylane.ctl;

import java.util.Objects;

/**
 * What one node says of itself.
 *
 * @param address its operator address
 * @param reachable whether it answered
 * @param host its host
 * @param dataCentre its data centre
 * @param revision the configuration in force there
 * @param presentMembers members that it believes present
 * @param inFlight requests in service at its target
 * @param allowance requests that may be in service at its target
 */
public record NodeStatus(
        String address,
        boolean reachable,
        String host,
        String dataCentre,
        long revision,
        int presentMembers,
        int inFlight,
        int allowance) {
    /** Checks that every part is present. */
    public NodeStatus {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
    }

    static NodeStatus unreachable(final String address) {
        return new NodeStatus(address, false, "?", "?", 0, 0, 0, 0);
    }
}
