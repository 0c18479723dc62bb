package io.bilberrylane.standin;

import io.bilberrylane.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/** Handles the requests of one connection to a target stand-in. */
final class TargetRequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** The request header that sets the length of the response body, in bytes. */
    static final String RESPONSE_BYTES = "X-Answer-Bytes";

    /** The header that identifies a request; the response repeats it. */
    static final String NONCE = "X-Nonce";

    /** The response header with the number of request body bytes received. */
    static final String BODY_BYTES = "X-Body-Bytes";

    /** The request header that makes the target's process end immediately. */
    static final String CRASH = "X-Crash";

    /** The path that does the same, for callers that set no headers. */
    static final String CRASH_PATH = "/standin/crash";

    private final TargetState mState;
    private HttpRequest mRequest;
    private RunRecord mRun;
    private int mStatus;
    private boolean mRunning;
    private volatile boolean mSilent;

    TargetRequestHandler(final TargetState state) {
        mState = state;
    }

    void goSilent() {
        mSilent = true;
    }

    // -- connection

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        if (!mState.tryAddConnection()) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        mState.removeConnection();
        if (mRunning) {
            mRunning = false;
            mState.endRun(mRun, false);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        ctx.close();
    }

    // -- requests

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject message) {
        if (mSilent) {
            return;
        }
        if (message instanceof HttpRequest request) {
            startRun(request);
        }
        if (message instanceof HttpContent content && !mSilent) {
            mRun.addBodyBytes(content.content().readableBytes());
            if (message instanceof LastHttpContent) {
                scheduleResponse(ctx);
            }
        }
    }

    private void startRun(final HttpRequest request) {
        mRequest = request;
        if (request.headers().contains(CRASH) || request.uri().equals(CRASH_PATH)) {
            mSilent = true;
            mState.crash();
        }
        mRun =
                new RunRecord(
                        request.headers().get(NONCE, ""),
                        request.headers().get(Headers.IDEMPOTENCY_KEY, ""),
                        request.method().name(),
                        request.headers().contains(HttpHeaderNames.AUTHORIZATION));
        mStatus = mState.startRun(mRun);
        mRunning = true;
    }

    private void scheduleResponse(final ChannelHandlerContext ctx) {
        final long delayNanos = mStatus == 200 ? mState.drawServiceNanos() : 0;
        ctx.executor().schedule(() -> respond(ctx), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void respond(final ChannelHandlerContext ctx) {
        if (!mRunning || mSilent) {
            return;
        }
        mRunning = false;
        mState.endRun(mRun, mStatus == 200);
        final int length = mRequest.headers().getInt(RESPONSE_BYTES, 64);
        final String nonce = mState.responseNonce(mRequest.headers().get(NONCE, ""));
        final HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(mStatus));
        response.headers().set(NONCE, nonce);
        response.headers().set(BODY_BYTES, mRun.bodyBytes());
        if (mStatus != 200) {
            response.headers().set(Headers.OUTCOME, "not-run");
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        final String callId = mRequest.headers().get(Headers.CALL_ID);
        if (callId != null && nonce.equals(mRequest.headers().get(NONCE, ""))) {
            response.headers().set(Headers.CALL_ID, callId);
        } else if (callId != null) {
            response.headers().set(Headers.CALL_ID, "crossed");
        }
        ctx.write(response);
        if (!mRequest.method().equals(HttpMethod.HEAD)) {
            ctx.write(new DefaultHttpContent(responseBody(nonce, length)));
        }
        final ChannelFuture written = ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!HttpUtil.isKeepAlive(mRequest)) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Returns a response body that is specific to the request with this nonce. */
    static ByteBuf responseBody(final String nonce, final int length) {
        final byte[] repeated = (nonce + "|").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        final byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = repeated[i % repeated.length];
        }
        return Unpooled.wrappedBuffer(body);
    }
}
