package io.bilberrylane.catalogue;

/** How often the calls of a route may run. */
public enum RunRule {
    /** A call may run more than once. */
    REPEATABLE,
    /** A call runs at most once. */
    ONCE,
    /** The method and the rules of the service's entry decide. */
    BY_METHOD
}
