package io.bilberrylane.policy;

/** What a call waits for at a gate. */
public enum WaitMode {
    /** Other gates are left to try: the call waits only until the speed of the target is known. */
    AWAIT_SPEED,
    /** The call waits for a slot and for a faster target. */
    AWAIT_SLOT,
    /** No other gate is left; the call may run late. */
    LAST_RESORT
}
