package io.bilberrylane.base;

import java.util.Objects;

/** The root of the project's unchecked exceptions; carries a stable code. */
public class BilberrylaneException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;

    /**
     * Creates an exception without a cause.
     *
     * @param code the stable code
     * @param message what was tried and what went wrong
     */
    public BilberrylaneException(final ErrorCode code, final String message) {
        this(code, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code
     * @param message what was tried and what went wrong
     * @param cause the cause, or null
     */
    public BilberrylaneException(
            final ErrorCode code, final String message, final Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code, "code is null");
    }

    /**
     * Returns the stable code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return mCode;
    }
}
