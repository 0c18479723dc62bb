package io.bilberrylane.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends short HTTP requests, each on a connection of its own. */
public final class SimpleHttpClient {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final Transport mTransport;

    private SimpleHttpClient(final Transport transport) {
        mTransport = transport;
    }

    /**
     * Returns a client.
     *
     * @param transport the event loops and channel types
     * @return a client without open connections
     */
    public static SimpleHttpClient of(final Transport transport) {
        return new SimpleHttpClient(Objects.requireNonNull(transport, "transport is null"));
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
                                                .addLast(new HttpClientCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES))
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
        scheduleTimeout(reply, future, timeoutMillis);
        reply.whenComplete((response, failure) -> future.channel().close());
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

    private static void scheduleTimeout(
            final CompletableFuture<HttpReply> reply,
            final ChannelFuture future,
            final long timeoutMillis) {
        future.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            final String message = "no response within " + timeoutMillis + " ms";
                            reply.completeExceptionally(new IOException(message));
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private static final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<HttpReply> mReply;

        private ReplyHandler(final CompletableFuture<HttpReply> reply) {
            mReply = reply;
        }

        @Override
        protected void channelRead0(
                final ChannelHandlerContext ctx, final FullHttpResponse response) {
            mReply.complete(
                    new HttpReply(
                            response.status().code(),
                            response.content().toString(StandardCharsets.UTF_8)));
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
