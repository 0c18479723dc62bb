package io.bilberrylane.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A target that announces itself to a node, with faults that can be set while it runs. */
public final class TargetStandIn implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long ANNOUNCE_INTERVAL_MILLIS = 500;
    private static final long LEASE_MILLIS = 2_000;

    private final ResourceCloser mCloser = ResourceCloser.empty();
    private final TargetSettings mSettings;
    private final TargetState mState;
    private final SimpleHttpClient mHttpClient;
    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final long mIncarnation = System.currentTimeMillis();
    private Channel mChannel;
    private JsonServer mControlServer;
    private volatile boolean mClosed;

    private TargetStandIn(final Transport transport, final TargetSettings settings) {
        mSettings = settings;
        mState = new TargetState(settings);
        mHttpClient = SimpleHttpClient.of(transport);
    }

    /**
     * Returns a running stand-in that announces itself periodically.
     *
     * @param transport the event loops and channel types
     * @param settings the settings of the stand-in
     * @return the stand-in
     */
    public static TargetStandIn start(final Transport transport, final TargetSettings settings) {
        final TargetStandIn standIn = new TargetStandIn(transport, settings);
        standIn.open(transport);
        return standIn;
    }

    private void open(final Transport transport) {
        mChannel =
                transport
                        .serverBootstrap()
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        mConnections.add(channel);
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new TargetRequestHandler(mState));
                                    }
                                })
                        .bind(mSettings.address())
                        .syncUninterruptibly()
                        .channel();
        mCloser.add(() -> mChannel.close().syncUninterruptibly());
        mControlServer =
                mCloser.add(
                        JsonServer.bind(
                                transport, mSettings.controlAddress(), this::handleControlRequest));
        transport
                .group()
                .scheduleAtFixedRate(
                        this::announce, 0, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the address that it listens on for its node.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /**
     * Returns the address to set faults and read the record.
     *
     * @return the IP address and port
     */
    public InetSocketAddress controlAddress() {
        return mControlServer.address();
    }

    /**
     * Replaces the faults.
     *
     * @param faults the new faults
     */
    public void setFaults(final TargetFaults faults) {
        mState.setFaults(faults);
        if (faults.goSilent()) {
            mConnections.forEach(
                    channel -> channel.pipeline().get(TargetRequestHandler.class).goSilent());
        }
    }

    /** Makes a request that crashes the stand-in close only it, instead of ending the process. */
    public void closeOnCrash() {
        mState.setCrashAction(() -> new Thread(this::close, "crash").start());
    }

    /**
     * Returns whether it is closed.
     *
     * @return true after {@link #close}, or after a request has crashed it
     */
    public boolean isClosed() {
        return mClosed;
    }

    /**
     * Returns the record of its connections and requests, as JSON.
     *
     * @return the peaks, the counts of exceeded limits and the runs
     */
    public String record() {
        return mState.record();
    }

    // -- announcements

    private void announce() {
        if (mClosed) {
            return;
        }
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("service", mSettings.service());
        final InetSocketAddress announcedAddress =
                mSettings.announcedAddress().orElseGet(this::address);
        body.put(
                "address",
                announcedAddress.getAddress().getHostAddress() + ":" + announcedAddress.getPort());
        body.put("slots", mSettings.slots());
        body.put("connections", mSettings.connectionLimit());
        body.put("coldSlots", mSettings.coldSlots());
        body.put("warmUpRequests", mSettings.warmUpRequests());
        body.put("incarnation", mIncarnation);
        body.put("leaseMillis", LEASE_MILLIS);
        body.put("draining", mState.faults().draining());
        mHttpClient
                .call(
                        mSettings.nodeAddress(),
                        HttpMethod.PUT,
                        "/.bilberrylane/announcement",
                        body.toString(),
                        LEASE_MILLIS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null || !reply.isSuccess()) {
                                LOGGER.atInfo().atMostEvery(5, TimeUnit.SECONDS).log(
                                        "announcement to the node failed: reply %s, exception %s",
                                        reply, failure);
                            }
                        });
    }

    // -- control

    private void handleControlRequest(
            final ChannelHandlerContext ctx, final FullHttpRequest request) {
        switch (request.uri()) {
            case "/standin/record" -> JsonServer.respond(ctx, request, 200, record());
            case "/standin/faults" -> {
                try {
                    final String body = request.content().toString(StandardCharsets.UTF_8);
                    setFaults(MAPPER.readValue(body, TargetFaults.class));
                    JsonServer.respond(ctx, request, 200, "{}");
                } catch (JsonProcessingException e) {
                    JsonServer.respond(ctx, request, 400, "{}");
                }
            }
            default -> JsonServer.respond(ctx, request, 404, "{}");
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mCloser.close();
        mConnections.close();
    }
}
