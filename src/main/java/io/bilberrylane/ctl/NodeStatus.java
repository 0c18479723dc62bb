package io.bilberrylane.ctl;

import java.util.List;
import java.util.Objects;

/**
 * The status that one node reports.
 *
 * @param address the operator address of the node
 * @param reachable whether the node responded with a valid status
 * @param host the host of the node; "?" if unreachable
 * @param dataCentre the data centre of the node; "?" if unreachable
 * @param revision the revision of the node's active configuration; 0 if unreachable
 * @param findings what the node does not understand of its active configuration, a line each
 * @param presentMembers the members that the node considers alive or suspect
 * @param inFlight the requests in service at its target
 * @param allowance the limit on requests in service at its target
 */
public record NodeStatus(
        String address,
        boolean reachable,
        String host,
        String dataCentre,
        long revision,
        List<String> findings,
        int presentMembers,
        int inFlight,
        int allowance) {
    /** Checks that no component is null. */
    public NodeStatus {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        findings = List.copyOf(findings);
    }

    static NodeStatus unreachable(final String address) {
        return new NodeStatus(address, false, "?", "?", 0, List.of(), 0, 0, 0);
    }
}
