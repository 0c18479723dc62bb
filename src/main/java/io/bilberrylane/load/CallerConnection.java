package io.bilberrylane.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** One connection of a caller; one call at a time. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final Consumer<CallerConnection> mOnIdle;
    private Channel mChannel;
    private PlannedCall mCall;
    private Consumer<CallResult> mConsumer;
    private HttpResponse mResponse;
    private boolean mInformational;
    private long mReceived;
    private boolean mContentRight;
    private byte[] mPattern = new byte[0];

    CallerConnection(final Consumer<CallerConnection> onIdle) {
        mOnIdle = onIdle;
    }

    void attach(final Channel channel) {
        mChannel = channel;
    }

    boolean isUsable() {
        return mChannel.isActive();
    }

    void send(final PlannedCall call, final Consumer<CallResult> consumer) {
        mChannel.eventLoop().execute(() -> sendNow(call, consumer));
    }

    private void sendNow(final PlannedCall call, final Consumer<CallResult> consumer) {
        mCall = call;
        mConsumer = consumer;
        mResponse = null;
        mReceived = 0;
        mContentRight = true;
        mPattern = (call.nonce() + "|").getBytes(StandardCharsets.UTF_8);
        if (!mChannel.isActive()) {
            end(0);
            return;
        }
        mChannel.write(request(call));
        if (call.bodyBytes() > 0) {
            mChannel.writeAndFlush(new PatternInput(call.bodyBytes()));
        } else {
            mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    private static HttpRequest request(final PlannedCall call) {
        final Operation operation = call.operation();
        final HttpRequest request =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(operation.method()),
                        operation.path());
        request.headers().set(HttpHeaderNames.HOST, operation.service());
        request.headers().set("X-Nonce", call.nonce());
        request.headers().set("X-Answer-Bytes", call.answerBytes());
        if (!call.key().isEmpty()) {
            request.headers().set("Idempotency-Key", call.key());
        }
        if (!call.organisationKey().isEmpty()) {
            request.headers()
                    .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + call.organisationKey());
        }
        if (call.bodyBytes() > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.bodyBytes());
        }
        return request;
    }

    // -- answer

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject message) {
        if (mCall == null) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            mInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            mResponse = mInformational ? mResponse : response;
        }
        if (message instanceof HttpContent content) {
            check(content.content());
            if (message instanceof LastHttpContent && !mInformational) {
                end(mResponse.status().code());
            }
        }
    }

    private void check(final ByteBuf content) {
        if (mResponse == null || mResponse.status().code() != 200) {
            return;
        }
        for (int i = content.readerIndex(); i < content.writerIndex(); i++) {
            final int at = (int) ((mReceived + i - content.readerIndex()) % mPattern.length);
            mContentRight &= content.getByte(i) == mPattern[at];
        }
        mReceived += content.readableBytes();
    }

    private void end(final int status) {
        final PlannedCall call = mCall;
        if (call == null) {
            return;
        }
        mCall = null;
        final CallResult result = result(call, status);
        if (status != 0 && HttpUtil.isKeepAlive(mResponse) && mChannel.isActive()) {
            mOnIdle.accept(this);
        } else {
            mChannel.close();
        }
        mConsumer.accept(result);
    }

    private CallResult result(final PlannedCall call, final int status) {
        final long latency = System.nanoTime() - call.dueNanos();
        if (status == 0) {
            return new CallResult(call, 0, "unknown", "cut", "", false, false, -1, latency);
        }
        final boolean replayed = mResponse.headers().contains("Bilberrylane-Replayed");
        final String nonce = mResponse.headers().get("X-Nonce", "");
        return new CallResult(
                call,
                status,
                mResponse.headers().get("Bilberrylane-Outcome", ""),
                mResponse.headers().get("Bilberrylane-Error", ""),
                nonce,
                replayed,
                replayed || mContentRight && mReceived == call.answerBytes(),
                mResponse.headers().getInt("X-Body-Bytes", -1),
                latency);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        end(0);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        ctx.close();
    }
}
