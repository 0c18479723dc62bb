package io.bilberrylane.base;

/** The stable codes of all errors that are visible to callers, targets and operators. */
public enum ErrorCode {
    /** The request violates HTTP/1.1 or exceeds a limit of its syntax. */
    BAD_REQUEST(400, 2),
    /** No catalogue entry serves the request's host name. */
    SERVICE_NOT_FOUND(404, 1),
    /** The body is longer than the catalogue entry allows. */
    BODY_TOO_LARGE(413, 1),
    /** An idempotency key was used before with a different request. */
    KEY_REUSED(422, 1),
    /** The first run of this idempotency key has not finished. */
    KEY_IN_PROGRESS(409, 1),
    /** The request head is longer than the ingress allows. */
    HEADERS_TOO_LARGE(431, 1),
    /** A limit of the catalogue entry is exhausted. */
    RATE_LIMITED(429, 1),
    /** No target of the service is known, in service and reachable. */
    NO_TARGET(503, 1),
    /** All slots are in use and the queue is full. */
    OVERLOADED(503, 1),
    /** The call waited in the queue for the maximum time that the catalogue entry allows. */
    QUEUE_TIMEOUT(503, 1),
    /** The node, the target or the data centre admits no new calls. */
    LEAVING(503, 1),
    /** A claim for the idempotency key could not be recorded. */
    CLAIM_UNAVAILABLE(503, 1),
    /** The deadline passed before the call started. */
    DEADLINE_EXCEEDED(504, 1),
    /** The link to the peer was lost and the outcome could not be determined. */
    LINK_LOST(502, 1),
    /** The target closed its connection or violated HTTP after the call started. */
    TARGET_FAILED(502, 1),
    /** The target did not respond in time after the call started. */
    TARGET_TIMEOUT(504, 1),
    /** The connection to the target could not be opened. */
    TARGET_UNREACHABLE(503, 1),
    /** The caller disconnected. */
    CANCELLED(499, 1),
    /** A peer violated the peer protocol. */
    PROTOCOL_VIOLATION(502, 1),
    /** Flags or environment variables are invalid. */
    SETTINGS_INVALID(500, 2),
    /** A catalogue has errors. */
    CATALOGUE_INVALID(422, 2),
    /** The platform did not respond, or responded with an unexpected status. */
    PLATFORM_UNAVAILABLE(503, 3),
    /** Another change was accepted first. */
    PLATFORM_CONFLICT(409, 4),
    /** The object does not exist in the platform. */
    PLATFORM_NOT_FOUND(404, 5),
    /** The platform refused the request because its rate limit was exceeded. */
    PLATFORM_THROTTLED(429, 3),
    /** The platform no longer has the versions that a watch requested. */
    PLATFORM_GONE(410, 3),
    /** An invariant of the program does not hold. */
    INVARIANT_VIOLATED(500, 70),
    /** Another gate holds the claim for the idempotency key. */
    CLAIM_HELD(409, 1),
    /** The request of this idempotency key may have run, but its response is not known. */
    KEY_OUTCOME_UNKNOWN(409, 1),
    /** The node has no configuration yet. */
    NOT_READY(503, 1),
    /** The route of the request is in the configuration, but cannot be understood. */
    ROUTE_UNUSABLE(503, 1),
    /** Every attempted target reported that it refused the call without running it. */
    TARGET_REFUSED(503, 1),
    /** An object or a response of the platform cannot be decoded. */
    PLATFORM_UNREADABLE(502, 3),
    /** The target's response belongs to another request or lacks its required signature. */
    ANSWER_SPOILED(502, 1),
    /** Calls with this fingerprint crashed their targets and are refused for a limited time. */
    QUARANTINED(503, 1),
    /** The request has no key of an organisation and is not a call of a running request. */
    UNKNOWN_KEY(401, 1),
    /** The organisation of the call has used its limit up. */
    QUOTA_EXCEEDED(429, 1);

    private final int mHttpStatus;
    private final int mExitStatus;

    ErrorCode(final int httpStatus, final int exitStatus) {
        mHttpStatus = httpStatus;
        mExitStatus = exitStatus;
    }

    /**
     * Returns the HTTP status of a response with this error.
     *
     * @return a status of 400 or above
     */
    public int httpStatus() {
        return mHttpStatus;
    }

    /**
     * Returns the exit status of a command that fails with this code.
     *
     * @return a status from 1 to 70
     */
    public int exitStatus() {
        return mExitStatus;
    }

    /**
     * Returns the code as written in headers, logs and metrics.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
