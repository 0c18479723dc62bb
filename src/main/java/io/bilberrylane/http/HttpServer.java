package io.bilberrylane.http;

import io.bilberrylane.catalogue.CallerLimits;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** One HTTP address of a node. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final IngressSettings mSettings;
    private Channel mChannel;
    private volatile boolean mLeaving;
    private volatile boolean mRefusing;

    private HttpServer(
            final HttpLimits limits,
            final Supplier<Catalogue> catalogue,
            final CallRouter router,
            final Optional<LocalEndpoint> localEndpoint,
            final String localPrefix,
            final HeaderNames names,
            final String service,
            final IngressMetrics metrics) {
        mSettings =
                new IngressSettings(
                        limits,
                        catalogue,
                        router,
                        localEndpoint,
                        localPrefix,
                        () -> mLeaving,
                        () -> mRefusing,
                        names,
                        service,
                        metrics);
    }

    /**
     * Returns a server for calls.
     *
     * @param transport threads and channel types
     * @param address where to listen; port 0 picks one
     * @param catalogue the catalogue in force
     * @param router brings calls to targets
     * @param localEndpoint answers requests to the node itself, if this address has any
     * @param localPrefix the path prefix of requests to the node itself
     * @param names the header fields that callers use
     * @param service the service beside the node, told to targets; may be empty
     * @param metrics counts calls and their ends
     * @return a bound server
     */
    public static HttpServer bind(
            final Transport transport,
            final InetSocketAddress address,
            final Supplier<Catalogue> catalogue,
            final CallRouter router,
            final Optional<LocalEndpoint> localEndpoint,
            final String localPrefix,
            final HeaderNames names,
            final String service,
            final IngressMetrics metrics) {
        final HttpServer server =
                new HttpServer(
                        HttpLimits.DEFAULT,
                        catalogue,
                        router,
                        localEndpoint,
                        localPrefix,
                        names,
                        service,
                        metrics);
        server.listen(transport, address);
        return server;
    }

    /**
     * Returns a server that answers every request itself.
     *
     * @param transport threads and channel types
     * @param address where to listen; port 0 picks one
     * @param endpoint answers the requests
     * @return a bound server
     */
    public static HttpServer bindLocal(
            final Transport transport,
            final InetSocketAddress address,
            final LocalEndpoint endpoint) {
        return bind(
                transport,
                address,
                Catalogue::empty,
                (route, head, executor, sink) -> {
                    throw new IllegalStateException("no calls are routed here");
                },
                Optional.of(Objects.requireNonNull(endpoint, "endpoint is null")),
                "/",
                HeaderNames.OWN,
                "",
                IngressMetrics.NONE);
    }

    private void listen(final Transport transport, final InetSocketAddress address) {
        mChannel =
                transport
                        .serverBootstrap()
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        initConnection(channel);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    private void initConnection(final Channel channel) {
        if (mConnections.size() >= mSettings.limits().connectionLimit()) {
            channel.close();
            return;
        }
        mConnections.add(channel);
        final ResponseEncoder encoder = new ResponseEncoder();
        final IngressHandler handler = new IngressHandler(mSettings, encoder);
        final CallerLimits callerLimits = mSettings.catalogue().get().callerLimits();
        final HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(callerLimits.headBytes())
                        .setMaxHeaderSize(callerLimits.headBytes())
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        channel.pipeline()
                .addLast(new StrictRequestDecoder(config, handler::onHeadBytes))
                .addLast(encoder)
                .addLast(new OneMessagePerReadHandler())
                .addLast(handler);
    }

    // -- state

    /**
     * Returns the address that callers connect to.
     *
     * @return IP and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /**
     * Returns the number of open connections.
     *
     * @return a count
     */
    public int connections() {
        return mConnections.size();
    }

    /** Moves callers away: each answer from now on closes its connection. */
    public void leave() {
        mLeaving = true;
    }

    /** Refuses each request from now on, without a run, and closes its connection. */
    public void refuseNewRequests() {
        mRefusing = true;
    }

    /** Accepts no connection from now on and closes each one as soon as it is idle. */
    public void closeIdle() {
        mChannel.close().syncUninterruptibly();
        for (final Channel connection : mConnections) {
            final IngressHandler handler = connection.pipeline().get(IngressHandler.class);
            if (handler != null) {
                connection.eventLoop().execute(handler::closeIfIdle);
            }
        }
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }
}
