package io.bilberrylane.http;

import java.util.concurrent.CompletionStage;

/** Responds to short requests to the node itself. Implementations must not block. */
@FunctionalInterface
public interface LocalEndpoint {
    /** The maximum length of a request body, in bytes. */
    int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Returns the response to a request.
     *
     * @param method the HTTP method
     * @param path the path, without a query
     * @param body the body as UTF-8
     * @return the response, possibly later
     */
    CompletionStage<LocalResponse> respond(String method, String path, String body);
}
