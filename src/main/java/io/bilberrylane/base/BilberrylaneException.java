package io.bilberrylane.base;

import java.util.Objects;

/** The base class of the project's unchecked exceptions. Has a stable error code. */
public class BilberrylaneException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;

    /**
     * Creates an exception without a cause.
     *
     * @param code the stable error code
     * @param message the failed operation and the reason
     */
    public BilberrylaneException(final ErrorCode code, final String message) {
        this(code, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable error code
     * @param message the failed operation and the reason
     * @param cause the cause, or null
     */
    public BilberrylaneException(
            final ErrorCode code, final String message, final Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code, "code is null");
    }

    /**
     * Returns the stable error code.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return mCode;
    }
}
