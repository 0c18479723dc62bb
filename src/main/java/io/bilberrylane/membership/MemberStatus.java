package io.bilberrylane.membership;

/** What is believed of a member; a later one overrides an earlier one of the same incarnation. */
public enum MemberStatus {
    /** The member answers. */
    ALIVE,
    /** The member did not answer and may refute that. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member said that it leaves. */
    LEFT
}
