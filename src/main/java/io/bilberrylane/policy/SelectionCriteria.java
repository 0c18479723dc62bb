package io.bilberrylane.policy;

import java.util.Objects;

/**
 * The properties of a call that determine the choice of its target.
 *
 * @param route the call's route
 * @param objectiveMicros the latency objective of the call, in microseconds; a later response is
 *     not of full use
 * @param localOnly whether the call may not leave the data centre yet because of its large body;
 *     applies only while a target there admits calls
 * @param remoteAllowed whether gates of other data centres may still be asked while a gate of this
 *     data centre admits calls
 * @param placement how the call is charged for the distance to another data centre
 */
public record SelectionCriteria(
        int route,
        double objectiveMicros,
        boolean localOnly,
        boolean remoteAllowed,
        Placement placement) {
    /** Checks that the placement is present. */
    public SelectionCriteria {
        Objects.requireNonNull(placement, "placement is null");
    }

    /**
     * Creates criteria with a fixed margin for other data centres.
     *
     * @param route the call's route
     * @param objectiveMicros the latency objective of the call, in microseconds
     * @param localOnly whether the call may not leave the data centre yet
     * @param remoteAllowed whether gates of other data centres may still be asked
     */
    public SelectionCriteria(
            final int route,
            final double objectiveMicros,
            final boolean localOnly,
            final boolean remoteAllowed) {
        this(route, objectiveMicros, localOnly, remoteAllowed, Placement.FIXED_MARGIN);
    }

    /**
     * Returns the criteria for a call that was offered to enough gates of other data centres.
     *
     * @return a copy with {@code remoteAllowed} false
     */
    public SelectionCriteria withoutRemote() {
        return new SelectionCriteria(route, objectiveMicros, localOnly, false, placement);
    }

    /**
     * Returns the criteria for a call that has waited long enough for a target of its data centre.
     *
     * @return a copy with {@code localOnly} false
     */
    public SelectionCriteria withoutLocalOnly() {
        return new SelectionCriteria(route, objectiveMicros, false, remoteAllowed, placement);
    }

    /** Criteria of a call without an objective and with a small body. */
    public static final SelectionCriteria NONE = new SelectionCriteria(0, 0, false, true);
}
