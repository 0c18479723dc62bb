package io.bilberrylane.node;

import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutSummary;
import java.util.List;

/**
 * What a node tells another one about roll-outs.
 *
 * @param summaries the roll-outs that are not complete
 * @param rows the reports of gates that have changed lately
 */
record RolloutReport(List<RolloutSummary> summaries, List<RolloutRow> rows) {
    RolloutReport {
        summaries = List.copyOf(summaries);
        rows = List.copyOf(rows);
    }
}
