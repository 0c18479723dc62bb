package io.bilberrylane.policy;

/**
 * What matters of a call for the choice of its target.
 *
 * @param route its route
 * @param objectiveMicros the time within which an answer is of full use, in microseconds
 * @param localOnly whether its body is too large to leave the data centre yet, while a target there
 *     admits calls
 * @param remoteAllowed whether gates of other data centres may still be asked while one here admits
 *     calls
 */
public record SelectionCriteria(
        int route, double objectiveMicros, boolean localOnly, boolean remoteAllowed) {
    /**
     * Returns the need of a call that has asked enough gates of other data centres.
     *
     * @return a changed copy
     */
    public SelectionCriteria withoutRemote() {
        return new SelectionCriteria(route, objectiveMicros, localOnly, false);
    }

    /**
     * Returns the need of a call that has waited long enough for a target of its data centre.
     *
     * @return a changed copy
     */
    public SelectionCriteria withoutLocalOnly() {
        return new SelectionCriteria(route, objectiveMicros, false, remoteAllowed);
    }

    /** A call without an objective and with a short body. */
    public static final SelectionCriteria NONE = new SelectionCriteria(0, 0, false, true);
}
