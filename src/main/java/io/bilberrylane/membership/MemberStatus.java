package io.bilberrylane.membership;

/**
 * The assumed status of a member. A later constant overrides an earlier one of the same incarnation
 * and revision.
 */
public enum MemberStatus {
    /** The member responds to pings. */
    ALIVE,
    /** The member did not respond and may refute the suspicion. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member announced that it leaves. */
    LEFT
}
