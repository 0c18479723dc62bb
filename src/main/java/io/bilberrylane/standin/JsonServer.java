package io.bilberrylane.standin;

import io.bilberrylane.net.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** An HTTP server whose handler gets each request whole and responds with JSON. */
public final class JsonServer implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 4 * 1024 * 1024;

    private final Channel mChannel;

    private JsonServer(final Channel channel) {
        mChannel = channel;
    }

    /** Handles one request. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a request.
         *
         * @param ctx the context to send the response through
         * @param request the request with its whole body; released when this method returns
         */
        void handle(ChannelHandlerContext ctx, FullHttpRequest request);
    }

    /**
     * Returns a running server.
     *
     * @param transport the event loops and channel types
     * @param address the address to listen on; with port 0, the system picks a port
     * @param handler the handler of all requests
     * @return the server
     */
    public static JsonServer bind(
            final Transport transport, final InetSocketAddress address, final Handler handler) {
        final Channel channel =
                transport
                        .serverBootstrap()
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel child) {
                                        child.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(adapter(handler));
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        return new JsonServer(channel);
    }

    private static SimpleChannelInboundHandler<FullHttpRequest> adapter(final Handler handler) {
        return new SimpleChannelInboundHandler<>() {
            @Override
            protected void channelRead0(
                    final ChannelHandlerContext ctx, final FullHttpRequest request) {
                handler.handle(ctx, request);
            }

            @Override
            public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
                ctx.close();
            }
        };
    }

    /**
     * Sends the response to a request and closes the connection unless it is kept alive.
     *
     * @param ctx the context of the request's connection
     * @param request the request
     * @param status the HTTP status
     * @param body the response body, as JSON
     */
    public static void respond(
            final ChannelHandlerContext ctx,
            final FullHttpRequest request,
            final int status,
            final String body) {
        final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        final boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        final io.netty.channel.ChannelFuture written = ctx.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Returns the address that it listens on.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
    }
}
