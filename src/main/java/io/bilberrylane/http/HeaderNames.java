package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The header fields that nodes, callers and targets exchange.
 *
 * @param service names the service of a request whose Host field does not; empty if no field does
 * @param idempotencyKey identifies the operation of a request, so that a resend never runs it
 *     again; empty if callers send no such keys to nodes
 * @param requestId the ID of a request; a target repeats it in its response
 * @param timeoutMillis the time that remains for a request, in milliseconds
 * @param targetId the target that a request is for; where {@code responseTargetId} is the same
 *     field, also the target that sent a response
 * @param responseTargetId in a response: the target that sent it
 * @param callerService the service that runs beside the node where the request entered
 * @param load the load of a target
 * @param notRun marks a response whose request was not run
 * @param signature marks a response that a target created; empty if targets do not sign
 * @param coldMillis the time for which a target remains cold, in milliseconds
 * @param organisation the organisation that makes a request
 * @param keyScheme the scheme of the Authorization field that carries an organisation's key
 * @param isRequestIdSetByCaller whether the caller sets the ID of each request
 * @param notRunStatuses the statuses that callers treat as a guarantee that a request was not run
 * @param fractionalRetryAfter whether callers accept fractions of a second in Retry-After
 */
public record HeaderNames(
        String service,
        String idempotencyKey,
        String requestId,
        String timeoutMillis,
        String targetId,
        String responseTargetId,
        String callerService,
        String load,
        String notRun,
        String signature,
        String coldMillis,
        String organisation,
        String keyScheme,
        boolean isRequestIdSetByCaller,
        Set<Integer> notRunStatuses,
        boolean fractionalRetryAfter) {
    private static final int MISDIRECTED = 421;
    private static final int BAD_GATEWAY = 502;
    private static final String AUTHORIZATION = "Authorization";

    /** The header fields of the project's own interface. */
    public static final HeaderNames OWN =
            new HeaderNames(
                    Headers.SERVICE,
                    Headers.IDEMPOTENCY_KEY,
                    Headers.CALL_ID,
                    Headers.TIMEOUT_MILLIS,
                    "Bilberrylane-Target-Id",
                    "Bilberrylane-Target-Id",
                    "Bilberrylane-Caller",
                    "Bilberrylane-Load",
                    Headers.OUTCOME,
                    "",
                    "Bilberrylane-Cold-Millis",
                    "Bilberrylane-Organisation",
                    "Bearer",
                    false,
                    Set.of(),
                    false);

    /** Checks that no name is null and copies the statuses. */
    public HeaderNames {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey is null");
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(timeoutMillis, "timeoutMillis is null");
        Objects.requireNonNull(targetId, "targetId is null");
        Objects.requireNonNull(responseTargetId, "responseTargetId is null");
        Objects.requireNonNull(callerService, "callerService is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(notRun, "notRun is null");
        Objects.requireNonNull(signature, "signature is null");
        Objects.requireNonNull(coldMillis, "coldMillis is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(keyScheme, "keyScheme is null");
        notRunStatuses = Set.copyOf(notRunStatuses);
    }

    /**
     * Returns the status that a caller receives for an error.
     *
     * @param code the error code
     * @param notRun whether the request certainly was not run and never will be
     * @return the status of the error code, or 502 if that status would guarantee that the request
     *     was not run although this is not certain
     */
    public int statusOf(final ErrorCode code, final boolean notRun) {
        return !notRun && notRunStatuses.contains(code.httpStatus())
                ? BAD_GATEWAY
                : code.httpStatus();
    }

    /**
     * Returns the header fields of a request that only nodes set, in lower case.
     *
     * @return the names that are removed from a caller's request
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
     * Returns whether a header field tells how a message is framed, whom it is for or whose it is.
     * No {@code Connection} field of a sender may remove such a field.
     *
     * @param name the name of the field
     * @return true if the field is never hop-by-hop
     */
    public boolean isEndToEnd(final String name) {
        return Stream.of(
                        "Content-Length",
                        "Host",
                        service,
                        idempotencyKey,
                        requestId,
                        timeoutMillis,
                        targetId,
                        responseTargetId,
                        callerService,
                        load,
                        notRun,
                        signature,
                        coldMillis)
                .anyMatch(name::equalsIgnoreCase);
    }

    /**
     * Returns whether a header field of a request carries a key or names an organisation. Some
     * targets read an underscore in a name as a hyphen.
     *
     * @param name the name of the field
     * @return true if only the node may send the field to a target
     */
    public boolean identifiesCaller(final String name) {
        final String hyphenated = name.replace('_', '-');
        return hyphenated.equalsIgnoreCase(AUTHORIZATION)
                || hyphenated.equalsIgnoreCase(organisation);
    }

    /**
     * Returns the header fields of a target's response that are of no use to callers, in lower
     * case.
     *
     * @return the names that are removed from a response
     */
    public Set<String> internalResponseFields() {
        return isRequestIdSetByCaller ? Set.of() : Set.of(requestId.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns whether a target reports that it refused a request without running it.
     *
     * @param status the status of its response
     * @param headers the header fields of its response
     * @return true if the request may be sent to another target
     */
    public boolean isNotRun(final int status, final HttpHeaders headers) {
        if (status < 400) {
            return false;
        }
        final String outcome = headers.get(notRun);
        return status == MISDIRECTED || outcome != null && !outcome.equals("unknown");
    }

    /**
     * Returns whether a response belongs to a request. A target repeats the ID of each request that
     * has one. A response without an ID may therefore be a copy of an earlier one, such as the
     * refusal of a probe. A refusal on a connection that has carried nothing else is no copy.
     *
     * @param id the ID that was sent with the request; empty if it has none
     * @param status the status of the response
     * @param headers the header fields of the response
     * @param isReused whether the connection has carried an earlier request
     * @return false if the response must be dropped and the matching one awaited
     */
    public boolean isResponseTo(
            final String id, final int status, final HttpHeaders headers, final boolean isReused) {
        final String echoed = headers.get(requestId);
        if (echoed != null) {
            return echoed.equals(id);
        }
        return !isRequestIdSetByCaller || id.isEmpty() || !isReused && status / 100 != 2;
    }

    /**
     * Returns whether the responses to a request can be told from copies of earlier ones only on a
     * connection that has carried no other request.
     *
     * @param id the ID that is sent with the request; empty if it has none
     * @return true if targets repeat IDs but the request has none
     */
    public boolean needsNewConnection(final String id) {
        return isRequestIdSetByCaller && id.isEmpty();
    }

    /**
     * Returns whether a response carries the signature that is required to forward it as a success.
     *
     * @param status the status of the response
     * @param headers the header fields of the response
     * @return false if a signature is required and missing
     */
    public boolean hasRequiredSignature(final int status, final HttpHeaders headers) {
        return signature.isEmpty() || status / 100 != 2 || headers.contains(signature);
    }
}
