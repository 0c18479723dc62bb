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
            final long remainingMillis) {
        final HttpRequest request =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.uri());
        for (final HeaderField field : head.headers()) {
            request.headers().add(field.name(), field.value());
        }
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, head.service());
        }
        if (head.bodyBytes() < 0) {
            request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            HttpUtil.setTransferEncodingChunked(request, true);
        }
        request.headers().set(names.timeoutMillis(), Math.max(0, remainingMillis));
        if (!names.isRequestIdSetByCaller()) {
            request.headers().set(names.requestId(), head.callId());
        }
        if (!targetId.isEmpty()) {
            request.headers().set(names.targetId(), targetId);
        }
        return request;
    }
}
