package io.bilberrylane.membership;

/** Takes what the target beside a node says of itself. */
public interface TargetRegistry {
    /**
     * Takes an announcement; an older one than that held changes nothing.
     *
     * @param announcement what the target says
     * @throws IllegalArgumentException when the target cannot be the one beside this node
     */
    void announce(TargetAnnouncement announcement);

    /**
     * Takes note that a target leaves: it gets no new call, and is never taken back.
     *
     * @param id the target's identity
     */
    void markLeaving(String id);

    /** Withdraws the target at once, whatever its identity is. */
    void withdraw();
}
