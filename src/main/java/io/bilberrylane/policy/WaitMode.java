package io.bilberrylane.policy;

/** How a call waits at a gate. */
public enum WaitMode {
    /** Other gates are there to be asked: it waits only for the target's speed to be known. */
    AWAIT_SPEED,
    /** It waits for a slot and for a faster target. */
    AWAIT_SLOT,
    /** It has nowhere else to go, and may run late. */
    LAST_RESORT
}
