package io.bilberrylane.policy;

import java.util.Objects;

/**
 * For whom a call is made.
 *
 * @param organisation the name of the organisation; empty if there is none
 * @param fairShare the weight of the organisation among those of the same rank, above 0
 * @param nested whether a running request makes the call
 * @param arrivalNanos the monotonic clock at the arrival of the call
 */
public record CallOrigin(String organisation, double fairShare, boolean nested, long arrivalNanos) {
    /** A call without an organisation, from outside the fleet. */
    public static final CallOrigin NONE = new CallOrigin("", 1, false, 0);

    /**
     * Checks that the organisation is present and its share positive.
     *
     * @throws IllegalArgumentException if the share is not above 0
     */
    public CallOrigin {
        Objects.requireNonNull(organisation, "organisation is null");
        if (!(fairShare > 0)) {
            throw new IllegalArgumentException("fairShare is not above 0");
        }
    }
}
