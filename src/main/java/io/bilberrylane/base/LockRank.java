package io.bilberrylane.base;

/**
 * The acquisition order of all locks: a thread may acquire a lock only if it holds no lock of a
 * higher rank.
 */
public enum LockRank {
    /** The catalogue and its version. */
    CONFIGURATION,
    /** The table of members and announced targets. */
    MEMBERSHIP,
    /** The targets that the ingress knows, and their load. */
    ROUTING,
    /** The admission state of the gate. */
    ADMISSION,
    /** The roll-outs and their evidence. */
    ROLLOUT,
    /** Call phases, tombstones and idempotency keys. */
    OUTCOME,
    /** The pool of connections to the target. */
    TARGET_POOL,
    /** The allowances of organisations. */
    QUOTA,
    /** The table of peer connections. */
    PEER_LINKS
}
