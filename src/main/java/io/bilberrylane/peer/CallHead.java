package io.bilberrylane.peer;

import java.util.List;
import java.util.Objects;

/**
 * All that a gate needs to know of a call before its body.
 *
 * @param callId unique for each attempt at a target
 * @param service the catalogue entry
 * @param method the HTTP method
 * @param uri the request target
 * @param headers the end-to-end header fields
 * @param timeoutMillis time that remains until the deadline, in milliseconds
 * @param attempt 1 for the first attempt
 * @param idempotent whether the call may run more than once
 * @param key the idempotency key, or empty
 * @param bodyBytes the body's length in bytes; 0 without a body, -1 when not known
 * @param requestId the identity that the target repeats in its answer
 * @param priority the place in queues; 0 goes first
 * @param objectiveMillis time that remains until an answer is late, in milliseconds
 * @param route calls of one route take about the same work
 * @param queueTimeoutMillis how long the call may wait at this gate, in milliseconds; 0 when the
 *     gate is to answer as soon as it knows its target's speed
 * @param lastResort whether it has nowhere else to go, so that it may run late
 */
public record CallHead(
        String callId,
        String service,
        String method,
        String uri,
        List<HeaderField> headers,
        long timeoutMillis,
        int attempt,
        boolean idempotent,
        String key,
        long bodyBytes,
        String requestId,
        int priority,
        long objectiveMillis,
        int route,
        long queueTimeoutMillis,
        boolean lastResort) {
    /** Checks the parts and copies the headers. */
    public CallHead {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(requestId, "requestId is null");
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether body data will follow the admission.
     *
     * @return true unless the length is 0
     */
    public boolean hasBody() {
        return bodyBytes != 0;
    }

    /**
     * Returns whether the call must run at most once for its idempotency key.
     *
     * @return true for a non-idempotent call with a key
     */
    public boolean isKeyed() {
        return !idempotent && !key.isEmpty();
    }

    /**
     * Returns the head of another attempt.
     *
     * @param newCallId the identity of the attempt
     * @param remainingMillis time that remains until the deadline, in milliseconds
     * @param newAttempt the number of the attempt
     * @param elapsedMillis time since the call came, in milliseconds
     * @param newQueueTimeoutMillis how long it may wait at the gate, in milliseconds
     * @param newLastResort whether it has nowhere else to go
     * @return a changed copy
     */
    public CallHead forAttempt(
            final String newCallId,
            final long remainingMillis,
            final int newAttempt,
            final long elapsedMillis,
            final long newQueueTimeoutMillis,
            final boolean newLastResort) {
        return new CallHead(
                newCallId,
                service,
                method,
                uri,
                headers,
                remainingMillis,
                newAttempt,
                idempotent,
                key,
                bodyBytes,
                requestId,
                priority,
                objectiveMillis - elapsedMillis,
                route,
                newQueueTimeoutMillis,
                newLastResort);
    }
}
