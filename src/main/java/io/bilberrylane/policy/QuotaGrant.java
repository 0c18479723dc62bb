package io.bilberrylane.policy;

/**
 * The decision of an owner on a request for an allowance.
 *
 * @param calls the calls that the requester may make
 * @param retryAfterNanos the time after which the owner expects to have more, in nanoseconds; 0 if
 *     it has more now
 */
public record QuotaGrant(int calls, long retryAfterNanos) {
    /** The decision of a node that does not own a part of the limit. */
    public static final QuotaGrant NOT_OWNER = new QuotaGrant(0, 100_000_000L);
}
