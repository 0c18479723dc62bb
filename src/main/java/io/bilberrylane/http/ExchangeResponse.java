package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.ResponseHead;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Writes the response of one exchange and decides what becomes of its connection. */
final class ExchangeResponse {
    /** An unread body up to this length is read and discarded to keep the connection open. */
    private static final long MAX_DISCARD_BYTES = 64 * 1024;

    private static final long LINGER_MILLIS = 1_000;

    private final ChannelHandlerContext mCtx;
    private final IngressHandler mHandler;
    private final HeaderNames mNames;
    private final HttpRequest mRequest;
    private final long mRequestBytes;
    private final ExchangeRecord mRecord;
    private boolean mHeadSent;
    private boolean mEndsWithConnection;
    private boolean mKeepAlive;

    /** Creates the writer; the length of the request's body is 0 without one, -1 if unknown. */
    ExchangeResponse(
            final ChannelHandlerContext ctx,
            final IngressHandler handler,
            final HeaderNames names,
            final HttpRequest request,
            final long requestBytes,
            final ExchangeRecord record) {
        mCtx = ctx;
        mHandler = handler;
        mNames = names;
        mRequest = request;
        mRequestBytes = requestBytes;
        mRecord = record;
        mKeepAlive = HttpUtil.isKeepAlive(request);
    }

    boolean isHeadSent() {
        return mHeadSent;
    }

    void closeConnectionAfterwards() {
        mKeepAlive = false;
    }

    // -- writing

    /** Tells the caller to send the body, if it waits for that. */
    void sendContinue() {
        if (HttpUtil.is100ContinueExpected(mRequest)) {
            mCtx.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    void sendHead(final ResponseHead head, final boolean bodyDone) {
        final HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
        setHead(response, head, bodyDone);
        mCtx.write(response);
    }

    /** Writes head and body together. */
    ChannelFuture sendWhole(final ResponseHead head, final ByteBuf bytes, final boolean bodyDone) {
        final HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()), bytes);
        setHead(response, head, bodyDone);
        return mCtx.writeAndFlush(response);
    }

    private void setHead(
            final HttpResponse response, final ResponseHead head, final boolean bodyDone) {
        mHeadSent = true;
        mRecord.setStatus(head.status());
        final HttpHeaders headers = response.headers();
        for (final HeaderField field : head.headers()) {
            headers.add(field.name(), field.value());
        }
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && Headers.mayHaveBody(mRequest.method().name(), head.status())) {
            if (mRequest.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                mKeepAlive = false;
                mEndsWithConnection = true;
            }
        }
        setConnectionHeader(response, bodyDone);
    }

    ChannelFuture sendData(final ByteBuf bytes) {
        return mCtx.writeAndFlush(new DefaultHttpContent(bytes));
    }

    ChannelFuture sendEnd() {
        return mCtx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    ChannelFuture sendRefusal(
            final ErrorCode code,
            final boolean notRun,
            final long retryAfterMillis,
            final boolean bodyDone) {
        final String outcome = notRun ? "not-run" : "unknown";
        final byte[] body =
                String.format(
                                Locale.ROOT,
                                "{\"error\":\"%s\",\"outcome\":\"%s\"}%n",
                                code.wireName(),
                                outcome)
                        .getBytes(StandardCharsets.UTF_8);
        final int status = mNames.statusOf(code, notRun);
        mRecord.setStatus(status);
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(Headers.ERROR, code.wireName());
        response.headers().set(Headers.OUTCOME, outcome);
        if (code == ErrorCode.UNKNOWN_KEY) {
            response.headers()
                    .set(
                            HttpHeaderNames.WWW_AUTHENTICATE,
                            mNames.keyScheme() + " realm=\"bilberrylane\"");
        } else if (retryAfterMillis > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter(retryAfterMillis));
        }
        setConnectionHeader(response, bodyDone);
        return mCtx.writeAndFlush(response);
    }

    private String retryAfter(final long millis) {
        return mNames.fractionalRetryAfter()
                ? String.format(Locale.ROOT, "%.3f", millis / 1_000.0)
                : String.valueOf((millis + 999) / 1_000);
    }

    private void setConnectionHeader(final HttpResponse response, final boolean bodyDone) {
        mKeepAlive &= !mHandler.isClosing() && (bodyDone || canDiscardRest());
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (mRequest.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private boolean canDiscardRest() {
        return mRequestBytes >= 0
                && mRequestBytes <= MAX_DISCARD_BYTES
                && !HttpUtil.is100ContinueExpected(mRequest);
    }

    // -- end

    /** Closes the connection so that the caller sees that the response is not complete. */
    void abort() {
        if (mEndsWithConnection) {
            mCtx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mCtx.close();
    }

    /** Ends the exchange once the last part of its response is being written. */
    void finish(final ChannelFuture written, final boolean bodyDone) {
        written.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        mRecord.recordCut("unwritten:" + done.cause());
                    }
                    mRecord.endCount();
                });
        mKeepAlive &= !mHandler.isClosing();
        if (mKeepAlive) {
            mHandler.onExchangeDone(!bodyDone);
            return;
        }
        if (bodyDone) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        written.addListener(done -> lingerThenClose());
    }

    /**
     * Closes the connection after a delay, so that the caller can read the response. Closing at
     * once with an unread body would reset the connection.
     */
    private void lingerThenClose() {
        if (mCtx.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        mCtx.channel().config().setAutoRead(true);
        mCtx.executor().schedule(() -> mCtx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
