package io.bilberrylane.policy;

/** How a call waits at a gate. */
public enum Patience {
    /** Other gates are there to be asked: it waits only for the target's speed to be known. */
    NONE,
    /** It waits for a slot and for a faster target. */
    SOME,
    /** It has nowhere else to go, and may run late. */
    LAST_RESORT
}
