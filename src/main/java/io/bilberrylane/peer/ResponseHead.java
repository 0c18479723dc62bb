package io.bilberrylane.peer;

import java.util.List;

/**
 * The head of a response.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param notRun whether the target reports that it refused the call without running it
 */
public record ResponseHead(int status, List<HeaderField> headers, boolean notRun) {
    /** Copies the headers. */
    public ResponseHead {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the head of a response to a call that was run.
     *
     * @param status the HTTP status
     * @param headers the end-to-end header fields
     * @return the head
     */
    public static ResponseHead of(final int status, final List<HeaderField> headers) {
        return new ResponseHead(status, headers, false);
    }
}
