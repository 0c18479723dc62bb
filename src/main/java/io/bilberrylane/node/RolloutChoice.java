package io.bilberrylane.node;

import java.util.List;

/**
 * The targets that a call may have during a roll-out.
 *
 * @param preferred the targets among which one is chosen
 * @param others the targets that remain if none of the preferred ones can be chosen
 */
record RolloutChoice(List<TargetRef> preferred, List<TargetRef> others) {
    RolloutChoice {
        preferred = List.copyOf(preferred);
        others = List.copyOf(others);
    }

    static RolloutChoice of(final List<TargetRef> targets) {
        return new RolloutChoice(targets, List.of());
    }
}
