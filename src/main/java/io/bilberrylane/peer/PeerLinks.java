package io.bilberrylane.peer;

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
import java.util.function.Consumer;
import java.util.function.LongFunction;

/** The outbound links of a node, one for each address in use, opened on demand. */
public final class PeerLinks implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Transport mTransport;
    private final NodeIdentity mIdentity;
    private final RankedLock mLock = RankedLock.of(LockRank.PEER_LINKS);
    private final Map<InetSocketAddress, PeerLink> mLinks = new HashMap<>();

    private PeerLinks(final Transport transport, final NodeIdentity identity) {
        mTransport = transport;
        mIdentity = identity;
    }

    /**
     * Returns a table without links.
     *
     * @param transport threads and channel types
     * @param identity who this process is
     * @return the table
     */
    public static PeerLinks of(final Transport transport, final NodeIdentity identity) {
        return new PeerLinks(
                Objects.requireNonNull(transport, "transport is null"),
                Objects.requireNonNull(identity, "identity is null"));
    }

    /**
     * Returns a way to open calls at a node.
     *
     * @param address the node's peer address
     * @return opens calls over the current link to it
     */
    public CallOpener openerTo(final InetSocketAddress address) {
        return (head, sink) -> link(address).open(head, sink);
    }

    /**
     * Asks a node.
     *
     * @param address the node's peer address
     * @param requestFactory makes the question from its number
     * @param timeoutMillis how long to wait, in milliseconds
     * @param consumer takes the answer, or nothing when there is none in time
     */
    public void request(
            final InetSocketAddress address,
            final LongFunction<PeerMessage.Request> requestFactory,
            final long timeoutMillis,
            final Consumer<Optional<PeerMessage.Reply>> consumer) {
        link(address).request(requestFactory, timeoutMillis, consumer);
    }

    /**
     * Returns the number of links.
     *
     * @return open or opening links
     */
    public int size() {
        return mLock.get(mLinks::size);
    }

    /**
     * Closes the link to a node that has gone.
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
        final List<PeerLink> links = mLock.get(() -> List.copyOf(mLinks.values()));
        links.forEach(PeerLink::close);
    }

    // -- links

    private PeerLink link(final InetSocketAddress address) {
        return mLock.get(() -> mLinks.computeIfAbsent(address, this::connect));
    }

    private PeerLink connect(final InetSocketAddress address) {
        final PeerLink link =
                new PeerLink(mIdentity, closed -> mLock.run(() -> mLinks.remove(address, closed)));
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
                                                                PeerServer.MAX_CONSOLIDATED_FLUSHES,
                                                                true))
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
