package io.bilberrylane.policy;

/**
 * The decision of an ingress on a call, with its inputs.
 *
 * @param offered whether the call is offered to gates; otherwise it is refused without a run
 * @param boosted whether the call goes with the highest priority, because its organisation is
 *     served much less often than all callers
 * @param shortOfCapacity whether gates refuse calls of the service at present
 * @param refusedShare the share of the lowest ranks that is refused
 * @param position the share of recent calls that go before this one
 * @param retryAfterMillis the time after which the caller should return if it is refused
 * @param capacity what is known of the capacity
 */
public record IngressVerdict(
        boolean offered,
        boolean boosted,
        boolean shortOfCapacity,
        double refusedShare,
        double position,
        long retryAfterMillis,
        CapacityEstimate capacity) {}
