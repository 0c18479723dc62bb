package io.bilberrylane.http;

import java.util.Objects;

/**
 * An answer that the node gives itself.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 */
public record LocalResponse(int status, String contentType, String body) {
    /** Checks that every part is present. */
    public LocalResponse {
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns an answer in JSON.
     *
     * @param status the HTTP status
     * @param body the document
     * @return the answer
     */
    public static LocalResponse json(final int status, final String body) {
        return new LocalResponse(status, "application/json", body);
    }

    /**
     * Returns an answer in plain text.
     *
     * @param status the HTTP status
     * @param body the text
     * @return the answer
     */
    public static LocalResponse text(final int status, final String body) {
        return new LocalResponse(status, "text/plain; charset=utf-8", body);
    }
}
