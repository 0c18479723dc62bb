package io.bilberrylane.policy;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * What a node knows of the requests that the target beside it runs, as far as calls that the target
 * makes on their behalf are concerned.
 *
 * @param mayCall whether the target may make a call on behalf of a request
 * @param mostUrgentPriority the most urgent priority among the requests in service; empty if there
 *     are none
 */
public record LocalRuns(boolean mayCall, OptionalInt mostUrgentPriority) {
    /** No request runs or has run recently. */
    public static final LocalRuns NONE = new LocalRuns(false, OptionalInt.empty());

    /** Checks for null. */
    public LocalRuns {
        Objects.requireNonNull(mostUrgentPriority, "mostUrgentPriority is null");
    }

    /**
     * Returns whether the target runs a request now.
     *
     * @return false if none is in service
     */
    public boolean isBusy() {
        return mostUrgentPriority.isPresent();
    }

    /**
     * Returns the same knowledge of a node that does not know all earlier requests.
     *
     * @return a copy by which the target may make calls
     */
    public LocalRuns assumed() {
        return new LocalRuns(true, mostUrgentPriority);
    }
}
