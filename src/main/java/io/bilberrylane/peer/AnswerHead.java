package io.bilberrylane.peer;

import java.util.List;

/**
 * The head of an answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 */
public record AnswerHead(int status, List<HeaderField> headers) {
    /** The field that says whether a refused or failed call was run. */
    public static final String OUTCOME = "Bilberrylane-Outcome";

    /** Copies the headers. */
    public AnswerHead {
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether the target says that it refused the call without running it.
     *
     * @return true for a status of 400 or above with the outcome {@code not-run}
     */
    public boolean saysNotRun() {
        return status >= 400
                && headers.stream()
                        .anyMatch(
                                field ->
                                        field.name().equalsIgnoreCase(OUTCOME)
                                                && field.value().equals("not-run"));
    }
}
