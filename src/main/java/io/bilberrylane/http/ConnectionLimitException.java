package io.bilberrylane.http;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;

/** No connection to a target was free, which tells nothing about the target itself. */
public final class ConnectionLimitException extends BilberrylaneException {
    private static final long serialVersionUID = 1L;

    ConnectionLimitException(final String message) {
        super(ErrorCode.TARGET_UNREACHABLE, message);
    }
}
