package io.bilberrylane.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses, without a body if the request method is HEAD. */
final class ResponseEncoder extends HttpResponseEncoder {
    private boolean mHeadRequest;

    void setHeadRequest(final boolean headRequest) {
        mHeadRequest = headRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpResponse response) {
        return super.isContentAlwaysEmpty(response) || mHeadRequest;
    }
}
