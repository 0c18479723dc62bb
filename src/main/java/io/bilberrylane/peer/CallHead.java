package io.bilberrylane.peer;

import java.util.List;
import java.util.Objects;

/**
 * The attributes of a call that a gate needs before the body.
 *
 * @param callId unique for each attempt at a target
 * @param service the catalogue entry
 * @param method the HTTP method
 * @param uri the request target
 * @param headers the end-to-end header fields
 * @param timeoutMillis the time that remains until the deadline, in milliseconds
 * @param attempt 1 for the first attempt
 * @param idempotent whether the call may run more than once
 * @param key the idempotency key; empty if there is none
 * @param bodyBytes the length of the body in bytes; 0 without a body, -1 if unknown
 * @param requestId the identity that the target repeats in its response
 * @param priority the priority in queues; 0 is served first
 * @param objectiveMillis the time that remains until a response misses the latency objective, in
 *     milliseconds
 * @param route identifies the route; calls of one route take about the same work
 * @param queueTimeoutMillis the longest time that the call may wait at this gate, in milliseconds;
 *     0 if the gate must decide as soon as it knows the speed of its target
 * @param lastResort whether no other gate is left for the call, so that it may run late
 * @param organisation the name of the organisation that makes the call; empty if there is none
 * @param nested whether a target makes the call on behalf of a request that it runs
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
        boolean lastResort,
        String organisation,
        boolean nested) {
    /** Checks that no text is null and copies the headers. */
    public CallHead {
        Objects.requireNonNull(callId, "callId is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(organisation, "organisation is null");
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether body data will follow the admission.
     *
     * @return true unless the body's length is 0
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
     * Returns the head with its caller.
     *
     * @param newHeaders the end-to-end header fields
     * @param newPriority the priority in queues; 0 is served first
     * @param newOrganisation the name of the organisation; empty if there is none
     * @param newNested whether a target makes the call on behalf of a request that it runs
     * @return the changed copy
     */
    public CallHead forCaller(
            final List<HeaderField> newHeaders,
            final int newPriority,
            final String newOrganisation,
            final boolean newNested) {
        if (newHeaders == headers
                && newPriority == priority
                && newOrganisation.equals(organisation)
                && newNested == nested) {
            return this;
        }
        return new CallHead(
                callId,
                service,
                method,
                uri,
                newHeaders,
                timeoutMillis,
                attempt,
                idempotent,
                key,
                bodyBytes,
                requestId,
                newPriority,
                objectiveMillis,
                route,
                queueTimeoutMillis,
                lastResort,
                newOrganisation,
                newNested);
    }

    /**
     * Returns the head of another attempt.
     *
     * @param newCallId the identity of the attempt
     * @param remainingMillis the time that remains until the deadline, in milliseconds
     * @param newAttempt the number of the attempt
     * @param elapsedMillis the time since the call was received, in milliseconds
     * @param newQueueTimeoutMillis the longest time that it may wait at the gate, in milliseconds
     * @param newLastResort whether no other gate is left for the call
     * @return the changed copy
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
                newLastResort,
                organisation,
                nested);
    }

    /**
     * Returns the head with another priority.
     *
     * @param newPriority the priority in queues; 0 is served first
     * @return the changed copy
     */
    public CallHead withPriority(final int newPriority) {
        return new CallHead(
                callId,
                service,
                method,
                uri,
                headers,
                timeoutMillis,
                attempt,
                idempotent,
                key,
                bodyBytes,
                requestId,
                newPriority,
                objectiveMillis,
                route,
                queueTimeoutMillis,
                lastResort,
                organisation,
                nested);
    }
}
