package io.bilberrylane.membership;

import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** Registers the local target of a node by its announcements. */
public interface TargetRegistry {
    /**
     * Registers the target or renews its registration. An announcement older than the stored one
     * has no effect.
     *
     * @param announcement the target's announcement
     * @return completes when the announcement may be acknowledged
     * @throws IllegalArgumentException if the target cannot be the local target of this node
     */
    CompletionStage<Void> announce(TargetAnnouncement announcement);

    /**
     * Marks a target as leaving: it gets no new calls and is never registered again.
     *
     * @param id the target's identity
     * @param incarnation the process that leaves; empty if it is not named
     * @return completes when the departure may be acknowledged
     */
    CompletionStage<Void> markLeaving(String id, OptionalLong incarnation);

    /**
     * Removes the target immediately, regardless of its identity.
     *
     * @return completes when the withdrawal may be acknowledged
     */
    CompletionStage<Void> withdraw();
}
