package io.bilberrylane.peer;

import io.bilberrylane.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import java.util.Objects;

/** Accepts links from other nodes. */
public final class PeerServer implements AutoCloseable {
    /**
     * The number of flushes that are consolidated before an explicit one. Only those of one read of
     * the link are: a message that another channel's read causes is seldom followed by another one
     * on the same link, and to wait for one costs a task.
     */
    static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private final Channel mChannel;

    private PeerServer(final Channel channel) {
        mChannel = channel;
    }

    /**
     * Binds a server.
     *
     * @param transport the event loops and channel types
     * @param address the address to listen on; port 0 selects a free port
     * @param identity the identity of this process
     * @param gate opens the calls of peers
     * @param requestHandler replies to the requests of peers
     * @return the bound server
     */
    public static PeerServer bind(
            final Transport transport,
            final InetSocketAddress address,
            final NodeIdentity identity,
            final CallOpener gate,
            final RequestHandler requestHandler) {
        Objects.requireNonNull(gate, "gate is null");
        final ServerBootstrap bootstrap =
                transport
                        .serverBootstrap()
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MAX_CONSOLIDATED_FLUSHES))
                                                .addLast(new PeerFrameCodec())
                                                .addLast(
                                                        new PeerServerHandler(
                                                                identity, gate, requestHandler));
                                    }
                                });
        return new PeerServer(bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /**
     * Returns the address that peers connect to.
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
