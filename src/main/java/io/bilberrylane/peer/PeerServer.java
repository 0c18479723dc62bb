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
    /** Flushes are gathered until this many have been asked for. */
    static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private final Channel mChannel;

    private PeerServer(final Channel channel) {
        mChannel = channel;
    }

    /**
     * Returns a server that listens.
     *
     * @param transport threads and channel types
     * @param address where to listen; port 0 picks one
     * @param identity who this process is
     * @param gate opens the calls of peers
     * @param requestHandler answers the questions of peers
     * @return a bound server
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
                                                                MAX_CONSOLIDATED_FLUSHES, true))
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
     * @return IP and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
    }
}
