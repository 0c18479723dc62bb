package io.bilberrylane.base;

/** The order of all locks: a lock may be taken only while holding locks of lower ranks. */
public enum LockRank {
    /** The catalogue and its version. */
    CONFIGURATION,
    /** The table of members and announced targets. */
    MEMBERSHIP,
    /** The ingress's view of targets and their load. */
    ROUTING,
    /** The admission state of the gate. */
    ADMISSION,
    /** Call phases, tombstones and idempotency keys. */
    OUTCOME,
    /** The pool of connections to the target. */
    TARGET_POOL,
    /** The table of peer connections. */
    PEER_LINKS
}
