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
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** An HTTP server on one address of a node. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicInteger mExchanges = new AtomicInteger();
    private final Transport mTransport;
    private final IngressSettings mSettings;
    private Channel mChannel;
    private volatile boolean mLeaving;
    private volatile boolean mRefusing;

    /** The monotonic time at which every request must have ended; empty without a limit. */
    private volatile OptionalLong mEndNanos = OptionalLong.empty();

    private HttpServer(
            final Transport transport,
            final HttpLimits limits,
            final Supplier<Catalogue> catalogue,
            final CallRouter router,
            final Optional<LocalEndpoint> localEndpoint,
            final String localPrefix,
            final HeaderNames names,
            final String service,
            final IngressMetrics metrics) {
        mTransport = transport;
        mSettings =
                new IngressSettings(
                        limits,
                        catalogue,
                        router,
                        localEndpoint,
                        localPrefix,
                        () -> mLeaving,
                        () -> mRefusing,
                        this::remainingMillis,
                        names,
                        names.reservedRequestFields(),
                        service,
                        metrics,
                        mExchanges);
    }

    /**
     * Binds a server that routes calls to targets.
     *
     * @param transport the event loops and channel types
     * @param address the address to listen on; port 0 selects a free port
     * @param catalogue supplies the active catalogue
     * @param router routes calls to targets
     * @param localEndpoint responds to requests to the node itself; empty if this address serves
     *     none
     * @param localPrefix the path prefix of requests to the node itself
     * @param names the header fields that callers use
     * @param service the service that runs beside the node, sent to targets; may be empty
     * @param metrics records calls and their outcomes
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
                        transport,
                        HttpLimits.DEFAULT,
                        catalogue,
                        router,
                        localEndpoint,
                        localPrefix,
                        names,
                        service,
                        metrics);
        server.listen(address);
        return server;
    }

    /**
     * Binds a server that responds to every request itself.
     *
     * @param transport the event loops and channel types
     * @param address the address to listen on; port 0 selects a free port
     * @param endpoint responds to the requests
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
                    throw new IllegalStateException("a local server does not route calls");
                },
                Optional.of(Objects.requireNonNull(endpoint, "endpoint is null")),
                "/",
                HeaderNames.OWN,
                "",
                IngressMetrics.NONE);
    }

    private void listen(final InetSocketAddress address) {
        mChannel =
                mTransport
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
                .addLast(new PartJoiner())
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
     * @return the number of connections
     */
    public int connections() {
        return mConnections.size();
    }

    /**
     * Returns the number of requests to targets that were read and whose responses are not written.
     * A request counts before it is checked whether the server refuses requests.
     *
     * @return the number of exchanges
     */
    public int exchanges() {
        return mExchanges.get();
    }

    /** Drains the callers: each response from now on closes its connection. */
    public void leave() {
        mLeaving = true;
    }

    /**
     * Refuses each request from now on whose timeout ends too late, without running it.
     *
     * @param endNanos the time at which every request must have ended, by the monotonic clock in
     *     nanoseconds
     */
    public void takeOnlyUntil(final long endNanos) {
        mEndNanos = OptionalLong.of(endNanos);
    }

    private long remainingMillis() {
        final OptionalLong endNanos = mEndNanos;
        return endNanos.isPresent()
                ? TimeUnit.NANOSECONDS.toMillis(endNanos.getAsLong() - System.nanoTime())
                : Long.MAX_VALUE;
    }

    /** Refuses each request from now on without running it, and closes its connection. */
    public void refuseNewRequests() {
        mRefusing = true;
    }

    /**
     * Stops accepting connections and closes each open one as soon as it is idle. A connection that
     * has not sent a request yet stays open, because its request may be on the way.
     */
    public void closeIdle() {
        mTransport.closeListener(mChannel);
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
