package io.bilberrylane.peer;

import java.util.List;

/**
 * The head of a response.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param notRun whether the target reports that it refused the call without running it
 * @param repeatBudgetSpent whether the calls of repeated runs at the target have spent the retry
 *     budget of a service that the target calls, so that a failed call should not be repeated
 */
public record ResponseHead(
        int status, List<HeaderField> headers, boolean notRun, boolean repeatBudgetSpent) {
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
        return new ResponseHead(status, headers, false, false);
    }
}
