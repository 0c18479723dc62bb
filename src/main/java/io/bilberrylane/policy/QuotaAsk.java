package io.bilberrylane.policy;

/**
 * A request for an allowance that an ingress sends to an owner.
 *
 * @param owner the host of the owner
 * @param wanted the number of calls
 * @param sentNanos when it was decided, on the aging clock; identifies it to {@link QuotaAllowance}
 */
public record QuotaAsk(String owner, int wanted, long sentNanos) {}
