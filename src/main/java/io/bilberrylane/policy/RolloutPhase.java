package io.bilberrylane.policy;

/**
 * The phase of a roll-out. A node never returns to an earlier phase of the same order, and of two
 * phases that nodes report the later one holds.
 */
public enum RolloutPhase {
    /** The new version gets a small share. */
    TRIAL,
    /** The new version is preferred; the old one gets what it cannot take. */
    PROMOTING,
    /** The old version gets no more calls. */
    MOVED,
    /** The new version gets no calls. */
    STOPPED,
    /** The platform has recorded that the roll-out is complete. */
    COMPLETED;

    /**
     * Returns whether the roll-out is still to be decided.
     *
     * @return true before it is stopped or completed
     */
    public boolean isOpen() {
        return compareTo(STOPPED) < 0;
    }
}
