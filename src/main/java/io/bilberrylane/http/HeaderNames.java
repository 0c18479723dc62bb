package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;

/**
 * The header fields that nodes, callers and targets exchange.
 *
 * @param requestId names a request; a target repeats it in its answer
 * @param timeoutMillis the time that remains for a request, in milliseconds
 * @param targetId the target that a request is for, and in a target's answers who answered
 * @param responseTargetId in a target's answers: who answered
 * @param callerService the service beside the node where the request began
 * @param load a target's load
 * @param notRun marks an answer whose request was not run
 * @param signature marks an answer that a target made; empty when targets do not sign
 * @param coldMillis how much longer a target stays cold, in milliseconds
 * @param isRequestIdSetByCaller whether the caller gives each request its identity
 * @param notRunStatuses statuses that callers take for a promise that a request was not run
 * @param fractionalRetryAfter whether callers understand fractions of a second in Retry-After
 */
public record HeaderNames(
        String requestId,
        String timeoutMillis,
        String targetId,
        String responseTargetId,
        String callerService,
        String load,
        String notRun,
        String signature,
        String coldMillis,
        boolean isRequestIdSetByCaller,
        Set<Integer> notRunStatuses,
        boolean fractionalRetryAfter) {
    private static final int MISDIRECTED = 421;
    private static final int BAD_GATEWAY = 502;

    /** The names of the project's own interface. */
    public static final HeaderNames OWN =
            new HeaderNames(
                    Headers.CALL_ID,
                    Headers.TIMEOUT_MILLIS,
                    "Bilberrylane-Target-Id",
                    "Bilberrylane-Target-Id",
                    "Bilberrylane-Caller",
                    "Bilberrylane-Load",
                    Headers.OUTCOME,
                    "",
                    "Bilberrylane-Cold-Millis",
                    false,
                    Set.of(),
                    false);

    /** Checks that every name is present. */
    public HeaderNames {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(timeoutMillis, "timeoutMillis is null");
        Objects.requireNonNull(targetId, "targetId is null");
        Objects.requireNonNull(responseTargetId, "targetIdOfAnswer is null");
        Objects.requireNonNull(callerService, "callerService is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(notRun, "notRun is null");
        Objects.requireNonNull(signature, "signature is null");
        Objects.requireNonNull(coldMillis, "coldMillis is null");
        notRunStatuses = Set.copyOf(notRunStatuses);
    }

    /**
     * Returns the status that a caller sees for an error.
     *
     * @param code the error
     * @param notRun whether the request certainly was not run, and never will be
     * @return the error's status, unless that would promise what is not certain
     */
    public int statusOf(final ErrorCode code, final boolean notRun) {
        return !notRun && notRunStatuses.contains(code.httpStatus())
                ? BAD_GATEWAY
                : code.httpStatus();
    }

    /**
     * Returns the fields of a request that only nodes set, in lower case.
     *
     * @return names that a caller's request loses
     */
    public Set<String> reservedRequestFields() {
        final Set<String> names =
                Set.of(
                        targetId.toLowerCase(Locale.ROOT),
                        callerService.toLowerCase(Locale.ROOT),
                        timeoutMillis.toLowerCase(Locale.ROOT));
        if (isRequestIdSetByCaller) {
            return names;
        }
        final Set<String> all = new java.util.HashSet<>(names);
        all.add(requestId.toLowerCase(Locale.ROOT));
        return Set.copyOf(all);
    }

    /**
     * Returns the fields of a target's answer that are of no use to callers, in lower case.
     *
     * @return names that an answer loses
     */
    public Set<String> internalResponseFields() {
        return isRequestIdSetByCaller ? Set.of() : Set.of(requestId.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns whether a target says that it refused a request without running it.
     *
     * @param status the status of its answer
     * @param headers the fields of its answer
     * @return true when the request may be sent elsewhere
     */
    public boolean isNotRun(final int status, final HttpHeaders headers) {
        if (status < 400) {
            return false;
        }
        final String outcome = headers.get(notRun);
        return status == MISDIRECTED || outcome != null && !outcome.equals("unknown");
    }

    /**
     * Returns whether an answer is that of a request. A target repeats the identity of each request
     * that has one, so that a success without it answers something else, such as a question of the
     * node itself whose answer came twice.
     *
     * @param id the identity of the request
     * @param status the status of the answer
     * @param headers the fields of the answer
     * @return false when the answer is to be dropped and the right one awaited
     */
    public boolean isResponseTo(final String id, final int status, final HttpHeaders headers) {
        final String echoed = headers.get(requestId);
        if (echoed == null) {
            return !isRequestIdSetByCaller || id.isEmpty() || status / 100 != 2;
        }
        return echoed.equals(id);
    }

    /**
     * Returns whether an answer may be passed on as a success.
     *
     * @param status the status of the answer
     * @param headers the fields of the answer
     * @return false when a signed answer is due and this is none
     */
    public boolean hasRequiredSignature(final int status, final HttpHeaders headers) {
        return signature.isEmpty() || status / 100 != 2 || headers.contains(signature);
    }
}
