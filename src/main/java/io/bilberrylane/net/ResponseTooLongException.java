package io.bilberrylane.net;

import java.io.IOException;

/** A response has more bytes than it may have; the rest was not read. */
public final class ResponseTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    ResponseTooLongException(final int maxBytes) {
        super("response of more than " + maxBytes + " bytes");
    }
}
