package io.bilberrylane.membership;

/** Registers the local target of a node by its announcements. */
public interface TargetRegistry {
    /**
     * Registers the target or renews its registration. An announcement older than the stored one
     * has no effect.
     *
     * @param announcement the target's announcement
     * @throws IllegalArgumentException if the target cannot be the local target of this node
     */
    void announce(TargetAnnouncement announcement);

    /**
     * Marks a target as leaving: it gets no new calls and is never registered again.
     *
     * @param id the target's identity
     */
    void markLeaving(String id);

    /** Removes the target immediately, regardless of its identity. */
    void withdraw();
}
