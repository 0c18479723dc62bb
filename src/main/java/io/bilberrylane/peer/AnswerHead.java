package io.bilberrylane.peer;

import java.util.List;

/**
 * The head of an answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 */
public record AnswerHead(int status, List<HeaderField> headers) {
    /** Copies the headers. */
    public AnswerHead {
        headers = List.copyOf(headers);
    }
}
