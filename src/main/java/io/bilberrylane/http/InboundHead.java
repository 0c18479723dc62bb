package io.bilberrylane.http;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RouteMatch;
import io.bilberrylane.catalogue.ServiceEntry;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.policy.LocalRuns;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Optional;

/** The head of a caller's request, converted for a gate or for the node itself. */
final class InboundHead {
    private final HttpRequest mRequest;
    private final IngressSettings mSettings;
    private final long mBodyBytes;

    InboundHead(final HttpRequest request, final IngressSettings settings) {
        mRequest = request;
        mSettings = settings;
        mBodyBytes =
                HttpUtil.isTransferEncodingChunked(request)
                        ? -1
                        : HttpUtil.getContentLength(request, 0L);
    }

    /** Returns the length of the body, in bytes; 0 without a body, -1 if unknown. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Returns the ID of the request; empty if it has none. */
    String requestId() {
        return mRequest.headers().get(mSettings.names().requestId(), "");
    }

    // -- calls

    /** Returns the host name by which the route is found. */
    String host() {
        final String host = mRequest.headers().get(HttpHeaderNames.HOST, "");
        final String serviceField = mSettings.names().service();
        return serviceField.isEmpty() ? host : mRequest.headers().get(serviceField, host);
    }

    /** Returns the path of the request, without the query. */
    String path() {
        final String uri = mRequest.uri();
        final int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Identifies the caller. */
    CallerPermit permit(final Catalogue catalogue, final RouteMatch match) {
        return CallerPermit.decide(
                catalogue,
                AuthorizationField.read(mRequest.headers(), mSettings.names().keyScheme()),
                host(),
                path(),
                match,
                localRuns(catalogue));
    }

    private LocalRuns localRuns(final Catalogue catalogue) {
        return catalogue.requiresKeys() ? mSettings.router().localRuns() : LocalRuns.NONE;
    }

    /** Returns whether the call may run more than once. */
    boolean isIdempotent(final Route route, final Optional<ServiceEntry> entry) {
        return switch (route.runRule()) {
            case REPEATABLE -> true;
            case ONCE -> false;
            case BY_METHOD ->
                    entry.map(e -> e.isIdempotent(mRequest.method().name(), path())).orElse(false);
        };
    }

    CallHead toCallHead(
            final String service,
            final boolean idempotent,
            final Route route,
            final CallerPermit permit) {
        return permit.applyTo(
                toCallHead(service, idempotent, route),
                route,
                localRuns(permit.catalogue()),
                mSettings.names());
    }

    private CallHead toCallHead(final String service, final boolean idempotent, final Route route) {
        final HeaderNames names = mSettings.names();
        final long timeoutMillis = timeoutMillis(route);
        return new CallHead(
                "",
                service,
                mRequest.method().name(),
                mRequest.uri(),
                headers(),
                timeoutMillis,
                1,
                idempotent,
                idempotencyKey(),
                mBodyBytes,
                names.isRequestIdSetByCaller() ? requestId() : "",
                route.priority(),
                route.objectiveMillis(),
                route.id(),
                timeoutMillis,
                true,
                "",
                false);
    }

    private String idempotencyKey() {
        final String field = mSettings.names().idempotencyKey();
        return field.isEmpty() ? "" : mRequest.headers().get(field, "");
    }

    /** Returns the head of a request to the node itself. */
    CallHead toLocalCallHead() {
        return new CallHead(
                "",
                "",
                mRequest.method().name(),
                mRequest.uri(),
                List.of(),
                0,
                1,
                true,
                "",
                mBodyBytes,
                "",
                0,
                0,
                0,
                0,
                true,
                "",
                false);
    }

    private long timeoutMillis(final Route route) {
        final long maxMillis = route.timeoutMillis();
        final String requested = mRequest.headers().get(mSettings.names().timeoutMillis());
        if (requested == null) {
            return maxMillis;
        }
        try {
            return Math.max(1, Math.min(maxMillis, Long.parseLong(requested.trim())));
        } catch (NumberFormatException e) {
            return maxMillis;
        }
    }

    private List<HeaderField> headers() {
        final HeaderNames names = mSettings.names();
        final List<HeaderField> fields =
                Headers.endToEnd(mRequest.headers(), mSettings.reservedFields(), names::isEndToEnd);
        if (!mSettings.service().isEmpty()) {
            fields.add(new HeaderField(names.callerService(), mSettings.service()));
        }
        return fields;
    }
}
