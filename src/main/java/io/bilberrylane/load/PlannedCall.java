package io.bilberrylane.load;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * One call before it is sent.
 *
 * @param operation what it does
 * @param nonce identifies this sending
 * @param key the idempotency key, or empty
 * @param organisationKey the key of an organisation, or empty
 * @param address where it is sent
 * @param versus whether it belongs to the comparison
 * @param answerBytes length of the answer that it asks for, in bytes
 * @param bodyBytes length of its body, in bytes
 * @param dueNanos when it should be sent, on the monotonic clock
 * @param resend 0 for the first sending of its key
 */
public record PlannedCall(
        Operation operation,
        String nonce,
        String key,
        String organisationKey,
        InetSocketAddress address,
        boolean versus,
        int answerBytes,
        long bodyBytes,
        long dueNanos,
        int resend) {
    /** Checks that every part is present. */
    public PlannedCall {
        Objects.requireNonNull(operation, "operation is null");
        Objects.requireNonNull(nonce, "nonce is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(organisationKey, "organisationKey is null");
        Objects.requireNonNull(address, "address is null");
    }

    PlannedCall again(final String newNonce, final InetSocketAddress newAddress, final long now) {
        return new PlannedCall(
                operation,
                newNonce,
                key,
                organisationKey,
                newAddress,
                versus,
                answerBytes,
                bodyBytes,
                now,
                resend + 1);
    }
}
