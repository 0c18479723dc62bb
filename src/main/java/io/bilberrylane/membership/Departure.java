package io.bilberrylane.membership;

import java.util.Objects;

/**
 * What a target's announcement that it drains or leaves rules out: no earlier announcement of it
 * may register it as ready.
 *
 * @param id the target's identity; empty if it has none
 * @param incarnation the process that drains or has left; earlier ones have left, too
 * @param firstSequence the first announcement of that process that may register it; {@link #NONE}
 *     if it has left permanently
 */
public record Departure(String id, long incarnation, long firstSequence) {
    /** No announcement of the process may register it again. */
    public static final long NONE = Long.MAX_VALUE;

    /** Checks that the identity is not null. */
    public Departure {
        Objects.requireNonNull(id, "id is null");
    }

    /**
     * Returns the departure of a process that has left permanently.
     *
     * @param id the target's identity
     * @param incarnation the process
     * @return a departure that binds all its announcements
     */
    public static Departure permanent(final String id, final long incarnation) {
        return new Departure(id, incarnation, NONE);
    }

    /**
     * Returns the departure of a process that announced that it drains.
     *
     * @param announcement the announcement
     * @return a departure that binds the announcements before it
     */
    public static Departure draining(final TargetAnnouncement announcement) {
        return new Departure(
                announcement.id(), announcement.incarnation(), announcement.sequence());
    }

    /**
     * Returns whether an announcement must not register its target.
     *
     * @param announcement the announcement
     * @return true if its process has left, or sent it before it began to drain
     */
    public boolean binds(final TargetAnnouncement announcement) {
        if (!announcement.id().equals(id) || announcement.incarnation() > incarnation) {
            return false;
        }
        return announcement.incarnation() < incarnation || announcement.sequence() < firstSequence;
    }

    /**
     * Returns whether the process drains but may still announce itself.
     *
     * @return false if it has left permanently
     */
    public boolean isDraining() {
        return firstSequence != NONE;
    }
}
