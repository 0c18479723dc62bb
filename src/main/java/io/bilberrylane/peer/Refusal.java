package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import java.util.Objects;

/**
 * Why a call was not run.
 *
 * @param code the reason
 * @param retryAfterMillis when another try may help, in milliseconds; 0 when not known
 * @param holder the host that holds the call's idempotency key, or empty
 */
public record Refusal(ErrorCode code, long retryAfterMillis, String holder) {
    /** Checks the parts. */
    public Refusal {
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(holder, "holder is null");
    }

    /**
     * Returns a refusal without advice.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal of(final ErrorCode code) {
        return new Refusal(code, 0, "");
    }
}
