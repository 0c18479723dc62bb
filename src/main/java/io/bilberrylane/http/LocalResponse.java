package io.bilberrylane.http;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * A response that the node itself creates.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 */
public record LocalResponse(int status, String contentType, String body) {
    /** Checks that the media type and the body are not null. */
    public LocalResponse {
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns a JSON response.
     *
     * @param status the HTTP status
     * @param body the JSON document
     * @return the response
     */
    public static LocalResponse json(final int status, final String body) {
        return new LocalResponse(status, "application/json", body);
    }

    /**
     * Returns a plain-text response.
     *
     * @param status the HTTP status
     * @param body the text
     * @return the response
     */
    public static LocalResponse text(final int status, final String body) {
        return new LocalResponse(status, "text/plain; charset=utf-8", body);
    }

    /**
     * Returns this response as one that is available at once.
     *
     * @return a completed stage
     */
    public CompletionStage<LocalResponse> now() {
        return CompletableFuture.completedFuture(this);
    }
}
