package io.bilberrylane.http;

import java.io.IOException;

/** A response cannot be used. The node closes the connection; the target has not done so. */
public final class RejectedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    RejectedResponseException(final String message) {
        super(message);
    }

    RejectedResponseException(final Throwable cause) {
        super("undecodable response: " + cause, cause);
    }
}
