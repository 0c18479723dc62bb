package io.bilberrylane.policy;

import java.util.Collection;
import java.util.Objects;

/**
 * What a node sees of the fleet when it decides about a roll-out.
 *
 * @param newSlots the slots of the new version's targets that accept calls
 * @param oldSlots the slots of the other targets that accept calls
 * @param oldRows the keys of the rows of all other targets that are present, whether or not they
 *     accept calls
 * @param presentShare the share of the known nodes that are present, from 0 to 1
 * @param isCurrent whether the node has recently heard from others about the roll-out
 */
public record RolloutView(
        int newSlots,
        int oldSlots,
        Collection<String> oldRows,
        double presentShare,
        boolean isCurrent) {
    /** Checks that the keys are present. */
    public RolloutView {
        Objects.requireNonNull(oldRows, "oldRows is null");
    }
}
