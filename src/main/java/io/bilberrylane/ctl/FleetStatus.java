package io.bilberrylane.ctl;

import java.util.List;
import java.util.Locale;

/**
 * What nodes say of themselves.
 *
 * @param nodes one status for each asked node
 */
public record FleetStatus(List<NodeStatus> nodes) {
    /** Copies the nodes. */
    public FleetStatus {
        nodes = List.copyOf(nodes);
    }

    /**
     * Returns whether every asked node answered and holds the newest revision seen.
     *
     * @return false while there are stragglers
     */
    public boolean isInForceEverywhere() {
        return nodes.stream()
                .allMatch(node -> node.reachable() && node.revision() == newestRevision());
    }

    /**
     * Returns the newest revision that any node holds.
     *
     * @return 0 when no node answered
     */
    public long newestRevision() {
        return nodes.stream().mapToLong(NodeStatus::revision).max().orElse(0);
    }

    /**
     * Returns a table for people.
     *
     * @return lines of text
     */
    public String table() {
        final StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-16s %-14s %9s %8s %10s  %s%n",
                        "HOST",
                        "DATA CENTRE",
                        "REVISION",
                        "MEMBERS",
                        "IN SERVICE",
                        "STATE"));
        for (final NodeStatus node : nodes) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-16s %-14s %9d %8d %10s  %s%n",
                            node.host(),
                            node.dataCentre(),
                            node.revision(),
                            node.presentMembers(),
                            node.inFlight() + "/" + node.allowance(),
                            state(node)));
        }
        text.append(
                isInForceEverywhere()
                        ? "revision " + newestRevision() + " is in force on every asked node\n"
                        : "revision " + newestRevision() + " is not in force everywhere\n");
        return text.toString();
    }

    private String state(final NodeStatus node) {
        if (!node.reachable()) {
            return "unreachable at " + node.address();
        }
        return node.revision() == newestRevision() ? "current" : "straggler";
    }
}
