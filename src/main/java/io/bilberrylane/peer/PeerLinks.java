package io.bilberrylane.peer;

import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.ObjLongConsumer;

/** The outbound links of a node: one per peer address, opened on demand. */
public final class PeerLinks implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Transport mTransport;
    private final NodeIdentity mIdentity;
    private final RankedLock mLock = RankedLock.of(LockRank.PEER_LINKS);
    private final Map<InetSocketAddress, PeerLink> mLinks = new HashMap<>();
    private volatile BooleanSupplier mIsRoundTripMeasured = () -> false;
    private volatile ObjLongConsumer<InetSocketAddress> mRoundTripListener = (address, nanos) -> {};
    private final Runnable mStopChecks;

    private PeerLinks(final Transport transport, final NodeIdentity identity) {
        mTransport = transport;
        mIdentity = identity;
        mStopChecks =
                transport
                        .ticker()
                        .every(
                                PeerLink.CHECK_INTERVAL_MILLIS,
                                GuardedTask.of("peer links", this::checkLiveness));
    }

    /** One task checks all links: a timer for each would wake the event loop for each. */
    private void checkLiveness() {
        mLock.get(() -> List.copyOf(mLinks.values())).forEach(PeerLink::checkLiveness);
    }

    /**
     * Returns an empty set of links.
     *
     * @param transport the event loops and channel types
     * @param identity the identity of this process
     * @return the links
     */
    public static PeerLinks of(final Transport transport, final NodeIdentity identity) {
        return new PeerLinks(
                Objects.requireNonNull(transport, "transport is null"),
                Objects.requireNonNull(identity, "identity is null"));
    }

    /**
     * Returns an opener of calls at a node.
     *
     * @param address the node's peer address
     * @return the opener, which uses the current link to the node
     */
    public CallOpener openerTo(final InetSocketAddress address) {
        return (head, sink) -> link(address).open(head, sink);
    }

    /**
     * Sends a request to a node.
     *
     * @param address the node's peer address
     * @param requestFactory creates the request with the given request id
     * @param timeoutMillis how long to wait for the reply, in milliseconds
     * @param consumer receives the reply, or empty if the link fails or the timeout expires
     */
    public void request(
            final InetSocketAddress address,
            final LongFunction<PeerMessage.Request> requestFactory,
            final long timeoutMillis,
            final Consumer<Optional<PeerMessage.Reply>> consumer) {
        link(address).request(requestFactory, timeoutMillis, consumer);
    }

    /**
     * Sets the listener for the round trips of pings.
     *
     * @param isMeasured whether a link is pinged when it opens; other pings are sent in any case
     * @param listener receives the peer address of a node and the round trip to it, in nanoseconds
     */
    public void setRoundTripListener(
            final BooleanSupplier isMeasured, final ObjLongConsumer<InetSocketAddress> listener) {
        mIsRoundTripMeasured = Objects.requireNonNull(isMeasured, "isMeasured is null");
        mRoundTripListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Returns the number of links.
     *
     * @return the number of links that are open or connecting
     */
    public int size() {
        return mLock.get(mLinks::size);
    }

    /**
     * Closes the link to a node that is no longer a member.
     *
     * @param address the node's peer address
     */
    public void closeLink(final InetSocketAddress address) {
        final PeerLink link = mLock.get(() -> mLinks.get(address));
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() {
        mStopChecks.run();
        final List<PeerLink> links = mLock.get(() -> List.copyOf(mLinks.values()));
        links.forEach(PeerLink::close);
    }

    // -- links

    private PeerLink link(final InetSocketAddress address) {
        return mLock.get(() -> mLinks.computeIfAbsent(address, this::connect));
    }

    private PeerLink connect(final InetSocketAddress address) {
        final PeerLink link =
                new PeerLink(
                        mIdentity,
                        closed -> mLock.run(() -> mLinks.remove(address, closed)),
                        () -> mIsRoundTripMeasured.getAsBoolean(),
                        nanos -> mRoundTripListener.accept(address, nanos));
        final Bootstrap bootstrap =
                mTransport
                        .clientBootstrap()
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        link.attach(channel);
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                PeerServer
                                                                        .MAX_CONSOLIDATED_FLUSHES))
                                                .addLast(new PeerFrameCodec())
                                                .addLast(link);
                                    }
                                });
        final ChannelFuture future = bootstrap.connect(address);
        link.attach(future.channel());
        future.addListener(
                result -> {
                    if (!result.isSuccess()) {
                        link.onConnectFailed();
                    }
                });
        return link;
    }
}
