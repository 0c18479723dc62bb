package io.bilberrylane.ctl;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;

/** Thrown when another operator's change was accepted first. */
final class ConflictException extends BilberrylaneException {
    private static final long serialVersionUID = 1L;

    ConflictException(final String message) {
        super(ErrorCode.PLATFORM_CONFLICT, message);
    }
}
