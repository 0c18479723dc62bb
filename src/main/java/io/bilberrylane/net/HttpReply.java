package io.bilberrylane.net;

import java.util.Objects;

/**
 * A short response, read completely.
 *
 * @param status the HTTP status
 * @param body the body as UTF-8
 */
public record HttpReply(int status, String body) {
    /** Checks that the body is not null. */
    public HttpReply {
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns whether the call succeeded.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
