package io.bilberrylane.ctl;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

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
        distinctFindings()
                .forEach(
                        (line, count) ->
                                text.append("not understood by ")
                                        .append(count)
                                        .append(" of the queried nodes: ")
                                        .append(line)
                                        .append('\n'));
        text.append(
                isInForceEverywhere()
                        ? "revision " + newestRevision() + " is in force on every asked node\n"
                        : "revision " + newestRevision() + " is not in force everywhere\n");
        return text.toString();
    }

    /** Returns each finding with the number of nodes that report it, sorted by finding. */
    private Map<String, Long> distinctFindings() {
        return nodes.stream()
                .flatMap(node -> node.findings().stream())
                .collect(Collectors.groupingBy(line -> line, TreeMap::new, Collectors.counting()));
    }

    private String state(final NodeStatus node) {
        if (!node.reachable()) {
            return "unreachable at " + node.address();
        }
        return node.revision() == newestRevision() ? "current" : "straggler";
    }
}
