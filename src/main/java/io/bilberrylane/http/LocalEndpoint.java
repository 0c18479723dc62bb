package io.bilberrylane.http;

/** Answers short requests to the node itself; must not block. */
@FunctionalInterface
public interface LocalEndpoint {
    /** The longest request body, in bytes. */
    int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Returns the answer to a request.
     *
     * @param method the HTTP method
     * @param path the path, without a query
     * @param body the body as UTF-8
     * @return the answer
     */
    LocalResponse respond(String method, String path, String body);
}
