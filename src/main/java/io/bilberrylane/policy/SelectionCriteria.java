package io.bilberrylane.policy;

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
 */
public record SelectionCriteria(
        int route, double objectiveMicros, boolean localOnly, boolean remoteAllowed) {
    /**
     * Returns the criteria for a call that was offered to enough gates of other data centres.
     *
     * @return a copy with {@code remoteAllowed} false
     */
    public SelectionCriteria withoutRemote() {
        return new SelectionCriteria(route, objectiveMicros, localOnly, false);
    }

    /**
     * Returns the criteria for a call that has waited long enough for a target of its data centre.
     *
     * @return a copy with {@code localOnly} false
     */
    public SelectionCriteria withoutLocalOnly() {
        return new SelectionCriteria(route, objectiveMicros, false, remoteAllowed);
    }

    /** Criteria of a call without an objective and with a small body. */
    public static final SelectionCriteria NONE = new SelectionCriteria(0, 0, false, true);
}
