package io.bilberrylane.load;

import java.util.Objects;

/**
 * What a caller saw of one call.
 *
 * @param call the call
 * @param status the HTTP status; 0 when the connection ended before the answer
 * @param outcome what the answer says of the run: {@code not-run}, {@code unknown} or empty
 * @param errorCode the error code, or empty
 * @param answerNonce the nonce in the answer
 * @param replayed whether the answer replays an earlier run
 * @param whole whether the answer has its announced length and the right content
 * @param targetBodyBytes length of the body that the target saw, or -1
 * @param latencyNanos from the due time to the end of the answer, in nanoseconds
 */
public record CallResult(
        PlannedCall call,
        int status,
        String outcome,
        String errorCode,
        String answerNonce,
        boolean replayed,
        boolean whole,
        long targetBodyBytes,
        long latencyNanos) {
    /** Checks that every part is present. */
    public CallResult {
        Objects.requireNonNull(call, "call is null");
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(errorCode, "errorCode is null");
        Objects.requireNonNull(answerNonce, "answerNonce is null");
    }

    boolean isSuccess() {
        return status / 100 == 2;
    }

    boolean isNotRun() {
        return outcome.equals("not-run");
    }
}
