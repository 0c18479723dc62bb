package io.bilberrylane.policy;

/**
 * The decision of an ingress on one call of an organisation with a limit.
 *
 * @param waiter identifies the call
 * @param granted whether the call may be sent to a target
 * @param expiryNanos when the token of a granted call expires, on the aging clock
 * @param retryAfterNanos the time after which a refused call may be granted, in nanoseconds
 * @param owners what a refused call's ingress knows of each owner, for the log; empty if granted
 */
public record QuotaAnswer(
        long waiter, boolean granted, long expiryNanos, long retryAfterNanos, String owners) {}
