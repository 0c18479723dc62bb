package io.bilberrylane.http;

import io.bilberrylane.peer.HeaderField;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The header fields of the project and the rules for forwarding header fields. */
public final class Headers {
    /** Indicates whether a refused or failed call was run: {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Bilberrylane-Outcome";

    /** Carries the error code of a refused or failed call. */
    public static final String ERROR = "Bilberrylane-Error";

    /** Carries the time that remains for a call, in milliseconds. */
    public static final String TIMEOUT_MILLIS = "Bilberrylane-Timeout-Millis";

    /** Identifies a call at its target; a target may repeat it in its response. */
    public static final String CALL_ID = "Bilberrylane-Call-Id";

    /** Names the service of a call if its Host header does not. */
    public static final String SERVICE = "Bilberrylane-Service";

    /** Marks a response that replays the first run of an idempotency key. */
    public static final String REPLAYED = "Bilberrylane-Replayed";

    /** Marks a failure that a lower layer has retried, so that no higher layer retries it. */
    public static final String RETRIED = "Bilberrylane-Retried";

    /** Identifies the operation of a non-idempotent call, so that a resend never runs it again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private Headers() {}

    /**
     * Returns the end-to-end header fields of a message, which a node forwards.
     *
     * @param headers the header fields of the message
     * @param excluded further names that are not forwarded, in lower case
     * @param isKept whether the sender cannot declare a name as hop-by-hop
     * @return all fields but the excluded ones and the hop-by-hop ones, which concern only one
     *     connection
     */
    public static List<HeaderField> endToEnd(
            final HttpHeaders headers, final Set<String> excluded, final Predicate<String> isKept) {
        final Set<String> connectionOptions = connectionOptions(headers, isKept);
        final List<HeaderField> fields = new ArrayList<>(headers.size() + 1);
        for (final Map.Entry<String, String> entry : headers) {
            final String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name)
                    && !connectionOptions.contains(name)
                    && !excluded.contains(name)) {
                fields.add(new HeaderField(entry.getKey(), entry.getValue()));
            }
        }
        return fields;
    }

    /**
     * Returns whether a response may have a body.
     *
     * @param method the method of the request
     * @param status the status of the response
     * @return false for HEAD, 1xx, 204 and 304
     */
    public static boolean mayHaveBody(final String method, final int status) {
        return !method.equals(HttpMethod.HEAD.name())
                && status >= 200
                && status != HttpResponseStatus.NO_CONTENT.code()
                && status != HttpResponseStatus.NOT_MODIFIED.code();
    }

    private static Set<String> connectionOptions(
            final HttpHeaders headers, final Predicate<String> isKept) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        final Set<String> options = new HashSet<>();
        for (final String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (final String option : value.split(",")) {
                final String name = option.trim().toLowerCase(Locale.ROOT);
                if (!name.equals("close")
                        && !name.isEmpty()
                        && !HOP_BY_HOP.contains(name)
                        && !isKept.test(name)) {
                    options.add(name);
                }
            }
        }
        return options;
    }
}
