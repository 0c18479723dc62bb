package io.bilberrylane.net;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The event loops and the channel types that the operating system supports. */
public final class Transport implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A connection whose peer does not respond at all is closed after about this time. */
    private static final int USER_TIMEOUT_MILLIS = 2_500;

    private static final int KEEP_ALIVE_SECONDS = 1;
    private static final int KEEP_ALIVE_COUNT = 2;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup mGroup;
    private final boolean mEpoll;
    private final Ticker mTicker;
    private final AtomicLong mRenewedRegistrations = new AtomicLong();

    private Transport(final int workers, final boolean epoll, final IoHandlerFactory factory) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        workers, RenewingIoHandler.factory(factory, mRenewedRegistrations));
        mEpoll = epoll;
        mTicker = new Ticker(mGroup.next());
    }

    /**
     * Returns a transport with its own event loops.
     *
     * @param workers the number of event loop threads
     * @return a running transport, which uses epoll if it is available
     */
    public static Transport of(final int workers) {
        final boolean epoll = Epoll.isAvailable();
        return new Transport(
                workers, epoll, epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /**
     * Returns a transport with the given I/O, for tests.
     *
     * @param workers the number of event loop threads
     * @param epoll creates the handlers that do the I/O, compatible with epoll
     * @return a running transport
     */
    static Transport ofEpoll(final int workers, final IoHandlerFactory epoll) {
        return new Transport(workers, true, epoll);
    }

    /**
     * Returns whether the transport uses epoll through Netty's native library.
     *
     * @return false if it uses the JDK's selectors, which cannot bound unacknowledged data
     */
    public boolean isEpoll() {
        return mEpoll;
    }

    /**
     * Returns how often a channel was registered anew because the event queue of the operating
     * system no longer knew its descriptor.
     *
     * @return a count since the start
     */
    public long renewedRegistrations() {
        return mRenewedRegistrations.get();
    }

    /** Logs which implementation is in use, and why epoll is not if it is not. */
    public void logImplementation() {
        if (mEpoll) {
            LOGGER.atInfo().log("network transport: epoll");
        } else {
            LOGGER.atWarning().log(
                    "network transport: NIO, because epoll is not available: %s",
                    Epoll.unavailabilityCause());
        }
    }

    /**
     * Returns the event loops.
     *
     * @return an event loop group
     */
    public EventLoopGroup group() {
        return mGroup;
    }

    /**
     * Returns the timer of recurring tasks.
     *
     * @return the timer, which ends with this transport
     */
    public Ticker ticker() {
        return mTicker;
    }

    /**
     * Returns the event loop of the current thread, or any event loop if the thread belongs to
     * none.
     *
     * @return an event loop of this transport
     */
    public EventLoop currentOrAnyLoop() {
        for (final EventExecutor executor : mGroup) {
            if (executor.inEventLoop()) {
                return (EventLoop) executor;
            }
        }
        return mGroup.next();
    }

    /**
     * Returns a bootstrap for TCP servers.
     *
     * @return a bootstrap without handlers
     */
    public ServerBootstrap serverBootstrap() {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(mEpoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class);
    }

    /**
     * Closes a TCP server. With epoll, connections that wait to be accepted are accepted first:
     * closing the server would reset them.
     *
     * @param server the channel that a bootstrap of this transport has bound
     */
    public void closeListener(final Channel server) {
        if (server instanceof EpollServerSocketChannel listener
                && !server.eventLoop().inEventLoop()) {
            server.eventLoop()
                    .submit(
                            () -> {
                                WaitingConnections.accept(listener);
                                server.close();
                            })
                    .syncUninterruptibly();
        }
        server.close().syncUninterruptibly();
    }

    /**
     * Returns a bootstrap for TCP clients.
     *
     * @return a bootstrap without handlers
     */
    public Bootstrap clientBootstrap() {
        return clientBootstrap(mGroup);
    }

    /**
     * Returns a bootstrap for TCP clients that run on the given event loops.
     *
     * @param workers one event loop, or a group
     * @return a bootstrap without handlers
     */
    public Bootstrap clientBootstrap(final EventLoopGroup workers) {
        final Bootstrap bootstrap =
                new Bootstrap()
                        .group(workers)
                        .channel(mEpoll ? EpollSocketChannel.class : NioSocketChannel.class)
                        .option(ChannelOption.SO_KEEPALIVE, true);
        if (mEpoll) {
            bootstrap
                    .option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
                    .option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
                    .option(EpollChannelOption.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
                    .option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS);
        }
        return bootstrap;
    }

    /**
     * Returns a bootstrap for UDP.
     *
     * @return a bootstrap without handlers
     */
    public Bootstrap datagramBootstrap() {
        return new Bootstrap()
                .group(mGroup)
                .channel(mEpoll ? EpollDatagramChannel.class : NioDatagramChannel.class);
    }

    @Override
    public void close() {
        mGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }
}
