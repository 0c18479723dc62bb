package io.bilberrylane.http;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.CallerLimits;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Serves one connection of a caller, one request at a time and in order. */
final class IngressHandler extends ChannelDuplexHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final IngressSettings mSettings;
    private final ResponseEncoder mEncoder;
    private final Random mRandom = new Random();
    private ChannelHandlerContext mCtx;
    private InboundExchange mExchange;
    private HttpRequest mPipelinedRequest;
    private boolean mDiscarding;
    private boolean mDecodeFailed;
    private boolean mServed;
    private String mEndCause = "caller-left";
    private ScheduledFuture<?> mTimer;

    IngressHandler(final IngressSettings settings, final ResponseEncoder encoder) {
        mSettings = settings;
        mEncoder = encoder;
    }

    // -- connection

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        mCtx = ctx;
        // An error that has closed the channel is reported after the close.
        ctx.channel()
                .closeFuture()
                .addListener(done -> ctx.executor().execute(this::onConnectionEnded));
        awaitRequest();
    }

    /** Runs when the connection has ended, also while parts of further requests are queued. */
    private void onConnectionEnded() {
        cancelTimer();
        mPipelinedRequest = null;
        if (mExchange != null) {
            final InboundExchange exchange = mExchange;
            mExchange = null;
            exchange.onConnectionEnded(mEndCause);
        }
    }

    /** Notes that the node ends and closes its connections. */
    @Override
    public void close(final ChannelHandlerContext ctx, final ChannelPromise promise) {
        mEndCause = "node-closed";
        ctx.close(promise);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        if (cause instanceof DecoderException && ctx.channel().isActive()) {
            mDecodeFailed = true;
            if (mExchange == null) {
                refuseUndecodable();
            }
            return;
        }
        if (cause instanceof IOException || mExchange == null || !ctx.channel().isActive()) {
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                    "caller connection failed");
            mEndCause = (cause instanceof IOException ? "caller-lost:" : "error:") + cause;
            ctx.close();
            return;
        }
        LOGGER.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                "a request ends with an unexpected error");
        mExchange.onUnexpectedError();
    }

    /** Refuses a request whose head cannot be decoded; nothing after it is read. */
    private void refuseUndecodable() {
        final HttpRequest placeholder =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        mExchange = new InboundExchange(mCtx, this, mSettings, placeholder);
        mExchange.refuseMalformed(ErrorCode.BAD_REQUEST);
    }

    /** Closes the connection if no request is in progress, once the last response is written. */
    void closeIfIdle() {
        if (mExchange == null && mServed && mCtx != null) {
            mCtx.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            done -> {
                                if (mExchange == null) {
                                    mCtx.close();
                                }
                            });
        }
    }

    double randomFraction() {
        return mRandom.nextDouble();
    }

    boolean isClosing() {
        return mSettings.isLeaving();
    }

    // -- requests

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        if (message instanceof HttpRequest request) {
            onRequest(request);
            if (message instanceof HttpContent) {
                ReferenceCountUtil.release(message);
            }
            return;
        }
        if (message instanceof HttpContent content) {
            onContent(content);
            return;
        }
        ReferenceCountUtil.release(message);
    }

    private void onRequest(final HttpRequest request) {
        cancelTimer();
        if (mExchange != null) {
            mPipelinedRequest = request;
            return;
        }
        start(request);
    }

    private void start(final HttpRequest request) {
        mEncoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
        mExchange = new InboundExchange(mCtx, this, mSettings, request);
        final Optional<ErrorCode> error = RequestValidator.validate(request, mSettings.names());
        if (error.isPresent()) {
            mExchange.refuseMalformed(error.get());
            return;
        }
        mExchange.start();
    }

    private void onContent(final HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure()) {
            content.release();
            if (mExchange != null) {
                mExchange.refuseMalformed(ErrorCode.BAD_REQUEST);
            } else {
                mCtx.close();
            }
            return;
        }
        if (mExchange != null && !mDiscarding) {
            mExchange.onContent(content.content(), last);
            return;
        }
        content.release();
        if (last && mDiscarding) {
            mDiscarding = false;
            if (mExchange == null) {
                awaitRequest();
            }
            return;
        }
        mCtx.read();
    }

    // -- between requests

    /** Called when the exchange has ended and the connection may serve another one. */
    void onExchangeDone(final boolean bodyRemains) {
        mExchange = null;
        mServed = true;
        if (mDecodeFailed) {
            refuseUndecodable();
            return;
        }
        if (bodyRemains) {
            mDiscarding = true;
            startTimer(callerLimits().headTimeoutMillis(), "body-timeout");
            mCtx.read();
            return;
        }
        if (mPipelinedRequest != null) {
            final HttpRequest next = mPipelinedRequest;
            mPipelinedRequest = null;
            start(next);
            return;
        }
        awaitRequest();
    }

    /** Called by the decoder when the first bytes of a head arrive. */
    void onHeadBytes() {
        if (mExchange == null) {
            startTimer(callerLimits().headTimeoutMillis(), "head-timeout");
        }
    }

    private void awaitRequest() {
        startTimer(callerLimits().idleTimeoutMillis(), "idle-timeout");
        mCtx.read();
    }

    private void startTimer(final long delayMillis, final String endCause) {
        cancelTimer();
        if (mCtx != null) {
            mTimer =
                    mCtx.executor()
                            .schedule(
                                    () -> {
                                        mEndCause = endCause;
                                        mCtx.close();
                                    },
                                    delayMillis,
                                    TimeUnit.MILLISECONDS);
        }
    }

    private CallerLimits callerLimits() {
        return mSettings.catalogue().get().callerLimits();
    }

    private void cancelTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
