package io.bilberrylane.catalogue;

/** The rule on whether the calls of a route may run more than once. */
public enum RunRule {
    /** A call may run more than once. */
    REPEATABLE,
    /** A call runs at most once. */
    ONCE,
    /** The method and the idempotent rules of the service decide; see {@link ServiceEntry}. */
    BY_METHOD
}
