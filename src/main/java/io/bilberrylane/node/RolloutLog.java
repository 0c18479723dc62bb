package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.policy.RolloutSummary;
import java.util.ArrayList;
import java.util.List;

/** Writes one decision line for each step of a roll-out. */
final class RolloutLog {
    private RolloutLog() {}

    /** Writes the phases that were entered since the last call. */
    static void writePhases(final RolloutTable table) {
        final List<Runnable> lines = new ArrayList<>();
        table.lock()
                .run(
                        () ->
                                table.entries().stream()
                                        .filter(RolloutEntry::hasUnloggedPhase)
                                        .forEach(entry -> lines.add(line(entry)::write)));
        lines.forEach(Runnable::run);
    }

    /** Writes that the first target of the new version can be used. */
    static void writeTrial(final RolloutEntry entry, final int newSlots) {
        line("rollout-trial", entry).with("newSlots", newSlots).write();
    }

    private static DecisionLog.Line line(final RolloutEntry entry) {
        final String event =
                switch (entry.phase()) {
                    case TRIAL -> "rollout-started";
                    case PROMOTING -> "rollout-promoting";
                    case MOVED -> "rollout-moved";
                    case STOPPED -> "rollout-rolled-back";
                    case COMPLETED -> "rollout-completed";
                };
        return line(event, entry);
    }

    private static DecisionLog.Line line(final String event, final RolloutEntry entry) {
        final RolloutSummary summary = entry.rollout().summary(entry.isKnown(), System.nanoTime());
        return DecisionLog.event(event)
                .with("service", entry.service())
                .with("version", entry.version())
                .with("generation", summary.generation())
                .with("ageMillis", summary.ageMillis())
                .with("reason", summary.reason())
                .with("startedByVersion", entry.rollout().ledger().startedByVersion());
    }
}
