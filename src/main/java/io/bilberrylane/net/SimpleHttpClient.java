package io.bilberrylane.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Sends short HTTP requests, each on a connection of its own. */
public final class SimpleHttpClient {
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 1024 * 1024;

    private final Transport mTransport;
    private final int mMaxResponseBytes;

    private SimpleHttpClient(final Transport transport, final int maxResponseBytes) {
        mTransport = transport;
        mMaxResponseBytes = maxResponseBytes;
    }

    /**
     * Returns a client whose responses may have up to {@value #DEFAULT_MAX_RESPONSE_BYTES} bytes.
     *
     * @param transport the event loops and channel types
     * @return a client without open connections
     */
    public static SimpleHttpClient of(final Transport transport) {
        return of(transport, DEFAULT_MAX_RESPONSE_BYTES);
    }

    /**
     * Returns a client. A call whose response is longer than the given limit fails with a {@link
     * ResponseTooLongException}, and its connection is closed there.
     *
     * @param transport the event loops and channel types
     * @param maxResponseBytes the maximum length of a response with its head and framing, in bytes
     * @return a client without open connections
     */
    public static SimpleHttpClient of(final Transport transport, final int maxResponseBytes) {
        return new SimpleHttpClient(
                Objects.requireNonNull(transport, "transport is null"), maxResponseBytes);
    }

    /**
     * Sends a request whose Host header is the host name of the address.
     *
     * @param address the address to connect to
     * @param method the HTTP method
     * @param uri the request target
     * @param body the body; may be empty
     * @param timeoutMillis the timeout of the whole call, in milliseconds
     * @return completes with the response; fails with an {@link IOException} if there is none in
     *     time
     */
    public CompletableFuture<HttpReply> call(
            final InetSocketAddress address,
            final HttpMethod method,
            final String uri,
            final String body,
            final long timeoutMillis) {
        return call(address, method, uri, body, timeoutMillis, address.getHostString());
    }

    /**
     * Sends a request with the given Host header.
     *
     * @param address the address to connect to
     * @param method the HTTP method
     * @param uri the request target
     * @param body the body; may be empty
     * @param timeoutMillis the timeout of the whole call, in milliseconds
     * @param host the value of the Host header
     * @return completes with the response; fails with an {@link IOException} if there is none in
     *     time
     */
    public CompletableFuture<HttpReply> call(
            final InetSocketAddress address,
            final HttpMethod method,
            final String uri,
            final String body,
            final long timeoutMillis,
            final String host) {
        final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        final ChannelFuture future =
                mTransport
                        .clientBootstrap()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMillis)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        channel.pipeline()
                                                .addLast(new LengthLimit(mMaxResponseBytes, reply))
                                                .addLast(new HttpClientCodec())
                                                .addLast(new ReplyHandler(reply));
                                    }
                                })
                        .connect(address);
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        future.channel().writeAndFlush(request(host, method, uri, body));
                    } else {
                        reply.completeExceptionally(done.cause());
                    }
                });
        final Future<?> timeout = scheduleTimeout(reply, future, timeoutMillis);
        reply.whenComplete(
                (response, failure) -> {
                    timeout.cancel(false);
                    future.channel().close();
                });
        return reply;
    }

    /**
     * Returns a JSON request.
     *
     * @param host the value of the Host header
     * @param method the HTTP method
     * @param uri the request target
     * @param body the body; may be empty
     * @return the request
     */
    public static FullHttpRequest request(
            final String host, final HttpMethod method, final String uri, final String body) {
        final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(bytes));
        request.headers().set(HttpHeaderNames.HOST, host);
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        return request;
    }

    private static Future<?> scheduleTimeout(
            final CompletableFuture<HttpReply> reply,
            final ChannelFuture future,
            final long timeoutMillis) {
        return future.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            final String message = "no response within " + timeoutMillis + " ms";
                            reply.completeExceptionally(new IOException(message));
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Fails the call as soon as more bytes have arrived than its response may have. */
    private static final class LengthLimit extends ChannelInboundHandlerAdapter {
        private final int mMaxBytes;
        private final CompletableFuture<HttpReply> mReply;
        private long mBytes;

        private LengthLimit(final int maxBytes, final CompletableFuture<HttpReply> reply) {
            mMaxBytes = maxBytes;
            mReply = reply;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object message) {
            if (message instanceof ByteBuf bytes) {
                mBytes += bytes.readableBytes();
                if (mBytes > mMaxBytes) {
                    bytes.release();
                    mReply.completeExceptionally(new ResponseTooLongException(mMaxBytes));
                    return;
                }
            }
            ctx.fireChannelRead(message);
        }
    }

    /** Copies the body, because many short parts would each keep a buffer. */
    private static final class ReplyHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final CompletableFuture<HttpReply> mReply;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        private ReplyHandler(final CompletableFuture<HttpReply> reply) {
            mReply = reply;
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject message)
                throws IOException {
            if (message.decoderResult().isFailure()) {
                mReply.completeExceptionally(new IOException(message.decoderResult().cause()));
            }
            if (mReply.isDone()) {
                return;
            }
            if (message instanceof HttpResponse response) {
                mStatus = response.status().code();
            }
            if (message instanceof HttpContent content) {
                content.content().readBytes(mBody, content.content().readableBytes());
            }
            if (message instanceof LastHttpContent) {
                mReply.complete(new HttpReply(mStatus, mBody.toString(StandardCharsets.UTF_8)));
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            mReply.completeExceptionally(new IOException("connection closed before the response"));
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            mReply.completeExceptionally(cause);
        }
    }
}
