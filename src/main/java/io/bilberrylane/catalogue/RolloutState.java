package io.bilberrylane.catalogue;

/** The state of a roll-out as the status of its object holds it. */
public enum RolloutState {
    /** The object has no status, or one that belongs to an earlier order. */
    PENDING,
    /** The fleet has begun the roll-out. */
    RUNNING,
    /** All calls have moved to the new version. */
    COMPLETED,
    /** The new version was stopped. */
    ROLLED_BACK
}
