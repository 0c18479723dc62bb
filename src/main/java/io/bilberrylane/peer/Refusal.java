package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import java.util.Objects;

/**
 * The reason why a call was not run.
 *
 * @param code the reason
 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; 0 if unknown
 * @param holder the host that holds the call's idempotency key; empty if there is none
 */
public record Refusal(ErrorCode code, long retryAfterMillis, String holder) {
    /** Checks that no component is null. */
    public Refusal {
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(holder, "holder is null");
    }

    /**
     * Returns a refusal without a retry time or key holder.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal of(final ErrorCode code) {
        return new Refusal(code, 0, "");
    }
}
