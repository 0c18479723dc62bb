package io.bilberrylane.soak;

import io.bilberrylane.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** A TCP proxy in front of one server that injects faults into its connections on request. */
public final class FaultProxy implements AutoCloseable {
    private static final int DELAY_MILLIS = 150;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Transport mTransport;
    private final InetSocketAddress mServerAddress;
    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private volatile ProxyFault mFault = ProxyFault.NONE;
    private Channel mListener;

    private FaultProxy(final Transport transport, final InetSocketAddress serverAddress) {
        mTransport = transport;
        mServerAddress = serverAddress;
    }

    /**
     * Starts a proxy that forwards all bytes until a fault is set.
     *
     * @param transport the threads and channel types
     * @param address the address to listen on; port 0 selects a free port
     * @param serverAddress the address to connect to
     * @return the listening proxy
     */
    public static FaultProxy start(
            final Transport transport,
            final InetSocketAddress address,
            final InetSocketAddress serverAddress) {
        final FaultProxy proxy =
                new FaultProxy(
                        Objects.requireNonNull(transport, "transport is null"),
                        Objects.requireNonNull(serverAddress, "serverAddress is null"));
        proxy.listen(address);
        return proxy;
    }

    private void listen(final InetSocketAddress address) {
        mListener =
                mTransport
                        .serverBootstrap()
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(final Channel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns the address that the proxy listens on.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /**
     * Sets the fault for open and new connections. {@link ProxyFault#RESET} resets all open
     * connections at once.
     *
     * @param fault the fault
     */
    public void setFault(final ProxyFault fault) {
        mFault = Objects.requireNonNull(fault, "fault is null");
        if (fault == ProxyFault.RESET) {
            mConnections.forEach(FaultProxy::reset);
        }
    }

    private static void reset(final Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // -- connections

    private void accept(final Channel caller) {
        mConnections.add(caller);
        if (mFault == ProxyFault.RESET) {
            reset(caller);
            return;
        }
        final Relay fromCaller = new Relay(true);
        caller.pipeline().addLast(fromCaller);
        mTransport
                .clientBootstrap(caller.eventLoop())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(final Channel server) {
                                mConnections.add(server);
                                final Relay fromServer = new Relay(false);
                                fromServer.mDestination = caller;
                                fromCaller.mDestination = server;
                                server.pipeline().addLast(fromServer);
                            }
                        })
                .connect(mServerAddress)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                caller.read();
                                fromCaller.mDestination.read();
                            } else {
                                reset(caller);
                            }
                        });
    }

    /** Forwards the bytes that one end sends to the other end, subject to the current fault. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final boolean mFromCaller;
        private Channel mDestination;

        private Relay(final boolean fromCaller) {
            mFromCaller = fromCaller;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object message) {
            final ProxyFault fault = mFault;
            final boolean dropped =
                    fault == ProxyFault.SILENT || fault == ProxyFault.ONE_WAY && !mFromCaller;
            if (dropped) {
                ReferenceCountUtil.release(message);
                ctx.read();
            } else if (fault == ProxyFault.DELAY) {
                ctx.executor()
                        .schedule(
                                () -> forward(ctx, (ByteBuf) message),
                                DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
            } else {
                forward(ctx, (ByteBuf) message);
            }
        }

        private void forward(final ChannelHandlerContext ctx, final ByteBuf bytes) {
            mDestination.writeAndFlush(bytes).addListener(future -> ctx.read());
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            if (mDestination != null && mFault != ProxyFault.SILENT) {
                mDestination.close();
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }
}
