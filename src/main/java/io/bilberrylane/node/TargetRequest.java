package io.bilberrylane.node;

import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the HTTP request that is sent to a target for a call. */
final class TargetRequest {
    private TargetRequest() {}

    static HttpRequest of(
            final CallHead head,
            final HeaderNames names,
            final String targetId,
            final long remainingMillis,
            final boolean requiresKeys) {
        final HttpRequest request =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.uri());
        for (final HeaderField field : head.headers()) {
            request.headers().add(field.name(), field.value());
        }
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, head.service());
        }
        setFraming(request, head.bodyBytes());
        setOrganisation(request, head.organisation(), names, requiresKeys);
        request.headers().set(names.timeoutMillis(), Math.max(0, remainingMillis));
        if (!names.isRequestIdSetByCaller()) {
            request.headers().set(names.requestId(), head.callId());
        }
        if (!targetId.isEmpty()) {
            request.headers().set(names.targetId(), targetId);
        }
        return request;
    }

    /**
     * Names the organisation to the target. The key of the caller is removed here too, because an
     * ingress whose configuration has no organisations yet passes it on.
     */
    private static void setOrganisation(
            final HttpRequest request,
            final String organisation,
            final HeaderNames names,
            final boolean requiresKeys) {
        if (requiresKeys) {
            for (final String name : request.headers().names()) {
                if (names.identifiesCaller(name)) {
                    request.headers().remove(name);
                }
            }
        }
        if (!organisation.isEmpty()) {
            request.headers().set(names.organisation(), organisation);
        }
    }

    /** Frames the body by what the node has read, not by the header fields of the caller. */
    private static void setFraming(final HttpRequest request, final long bodyBytes) {
        request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        final boolean hasLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (bodyBytes < 0) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else if (bodyBytes > 0 || hasLength) {
            HttpUtil.setContentLength(request, bodyBytes);
        }
    }
}
