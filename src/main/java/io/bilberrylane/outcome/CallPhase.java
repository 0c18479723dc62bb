package io.bilberrylane.outcome;

/** How far a call got at a gate. */
public enum CallPhase {
    /** The gate has not seen the call, and never will: a tombstone keeps it out. */
    NEVER,
    /** The call holds or awaits a slot; the target has not seen a byte. */
    RESERVED,
    /** The target may have seen the call. */
    STARTED,
    /** The target answered the call completely. */
    FINISHED,
    /** The gate refused the call, or gave up before the target saw a byte. */
    REFUSED;

    /**
     * Returns whether the target certainly never ran the call, now and later.
     *
     * @return true for a tombstone and a refusal
     */
    public boolean isNotRun() {
        return this == NEVER || this == REFUSED;
    }
}
