package io.bilberrylane.outcome;

/** How far a call has progressed at a gate. */
public enum CallPhase {
    /** The gate has not seen the call and never will admit it: a tombstone blocks it. */
    NEVER,
    /** The call holds a slot or waits for one; the target has not received a byte. */
    RESERVED,
    /** The target may have received the call. */
    STARTED,
    /** The target answered the call completely. */
    FINISHED,
    /** The gate refused the call, or gave up before the target received a byte. */
    REFUSED;

    /**
     * Returns whether the target has certainly not run the call and never will.
     *
     * @return true for a tombstone or a refusal
     */
    public boolean isNotRun() {
        return this == NEVER || this == REFUSED;
    }
}
