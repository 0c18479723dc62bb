package io.bilberrylane.policy;

import java.util.Objects;

/**
 * A call of which an ingress decides whether to offer it to gates.
 *
 * @param service the service
 * @param priority the priority; 0 goes first
 * @param origin for whom the call is made
 * @param workNanos the expected service time; 0 if unknown
 * @param timeoutMillis the time until the deadline, in milliseconds
 * @param mustOffer whether only a gate can tell the outcome of the call, as with an idempotency key
 */
public record IngressCall(
        String service,
        int priority,
        CallOrigin origin,
        double workNanos,
        long timeoutMillis,
        boolean mustOffer) {
    /** Checks that service and origin are present. */
    public IngressCall {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(origin, "origin is null");
    }
}
