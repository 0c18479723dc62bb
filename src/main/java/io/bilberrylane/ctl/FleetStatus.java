package io.bilberrylane.ctl;

import java.util.List;
import java.util.Locale;

/**
 * The status that each queried node reports.
 *
 * @param nodes one status for each queried node
 */
public record FleetStatus(List<NodeStatus> nodes) {
    /** Copies the list of nodes. */
    public FleetStatus {
        nodes = List.copyOf(nodes);
    }

    /**
     * Returns whether every queried node responded and has the newest revision seen.
     *
     * @return false while any node is unreachable or has an older revision
     */
    public boolean isInForceEverywhere() {
        return nodes.stream()
                .allMatch(node -> node.reachable() && node.revision() == newestRevision());
    }

    /**
     * Returns the newest revision of any node.
     *
     * @return 0 if no node responded
     */
    public long newestRevision() {
        return nodes.stream().mapToLong(NodeStatus::revision).max().orElse(0);
    }

    /**
     * Returns the status as a human-readable table.
     *
     * @return the table and a summary line
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
