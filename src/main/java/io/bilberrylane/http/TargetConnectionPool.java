package io.bilberrylane.http;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The pool of connections to one target. It never opens more connections than the target accepts
 * and keeps a minimum number of idle ones open.
 */
public final class TargetConnectionPool implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final Transport mTransport;
    private final TargetPoolSettings mSettings;
    private final RankedLock mLock = RankedLock.of(LockRank.TARGET_POOL);
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private int mOpenCount;
    private boolean mClosed;

    private TargetConnectionPool(final Transport transport, final TargetPoolSettings settings) {
        mTransport = transport;
        mSettings = settings;
    }

    /**
     * Returns a pool that opens its idle connections at once.
     *
     * @param transport the event loops and channel types
     * @param settings the address of the target and the size of the pool
     * @return the pool
     */
    public static TargetConnectionPool of(
            final Transport transport, final TargetPoolSettings settings) {
        final TargetConnectionPool pool =
                new TargetConnectionPool(
                        Objects.requireNonNull(transport, "transport is null"),
                        Objects.requireNonNull(settings, "settings is null"));
        pool.ensureMinIdle();
        return pool;
    }

    // -- use

    /**
     * Acquires a connection.
     *
     * @param loop the preferred event loop of the connection; a new one is registered with it
     * @param maxIdleNanos the longest idle time of a connection that is reused, in nanoseconds
     * @param onReady receives the connection, on the connection's event loop
     * @param onFailed receives the cause; the target has not received anything
     */
    public void acquire(
            final EventLoop loop,
            final long maxIdleNanos,
            final Consumer<TargetConnection> onReady,
            final Consumer<Throwable> onFailed) {
        final Optional<TargetConnection> idle = mLock.get(() -> takeIdle(loop, maxIdleNanos));
        if (idle.isPresent()) {
            final TargetConnection connection = idle.get();
            runOn(connection.eventLoop(), () -> onReady.accept(connection));
            ensureMinIdle();
            return;
        }
        open(loop, onReady, onFailed);
    }

    /**
     * Returns the number of connections that are open or being opened.
     *
     * @return a number that is at most what the target accepts
     */
    public int open() {
        return mLock.get(() -> mOpenCount);
    }

    private Optional<TargetConnection> takeIdle(final EventLoop loop, final long maxIdleNanos) {
        final long now = System.nanoTime();
        final Iterator<TargetConnection> connections = mIdle.iterator();
        TargetConnection otherLoopConnection = null;
        while (connections.hasNext()) {
            final TargetConnection connection = connections.next();
            if (connection.idleNanos(now) > maxIdleNanos || !connection.isOpen()) {
                continue;
            }
            if (connection.eventLoop() == loop) {
                connections.remove();
                return Optional.of(connection);
            }
            otherLoopConnection = otherLoopConnection == null ? connection : otherLoopConnection;
        }
        if (otherLoopConnection != null) {
            mIdle.remove(otherLoopConnection);
        }
        return Optional.ofNullable(otherLoopConnection);
    }

    // -- connections

    private void ensureMinIdle() {
        final int missing =
                mLock.get(
                        () ->
                                mClosed
                                        ? 0
                                        : Math.min(
                                                mSettings.minIdleConnections() - mIdle.size(),
                                                mSettings.connectionLimit() - mOpenCount));
        if (missing > 0) {
            open(mTransport.group().next(), this::release, cause -> {});
        }
    }

    private void open(
            final EventLoop loop,
            final Consumer<TargetConnection> onReady,
            final Consumer<Throwable> onFailed) {
        final boolean reserved = mLock.get(this::reserve);
        if (!reserved) {
            onFailed.accept(
                    new BilberrylaneException(
                            ErrorCode.TARGET_UNREACHABLE,
                            "the target's connection pool is closed or at its limit"));
            return;
        }
        final TargetConnection connection = new TargetConnection(this);
        mTransport
                .clientBootstrap(loop)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(final Channel channel) {
                                connection.attach(channel);
                                channel.pipeline()
                                        .addLast(connection.endOfStreamHandler())
                                        .addLast(
                                                new HttpClientCodec(
                                                        MAX_LINE_BYTES,
                                                        MAX_HEAD_BYTES,
                                                        MAX_CHUNK_BYTES))
                                        .addLast(new PartJoiner())
                                        .addLast(new OneMessagePerReadHandler())
                                        .addLast(connection);
                            }
                        })
                .connect(mSettings.address())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                onReady.accept(connection);
                            } else {
                                mLock.run(() -> mOpenCount--);
                                onFailed.accept(done.cause());
                            }
                        });
    }

    private boolean reserve() {
        if (mClosed) {
            return false;
        }
        if (mOpenCount >= mSettings.connectionLimit()) {
            final TargetConnection oldest = mIdle.pollLast();
            if (oldest != null) {
                runOn(oldest.eventLoop(), oldest::abort);
            }
            return false;
        }
        mOpenCount++;
        return true;
    }

    void release(final TargetConnection connection) {
        final boolean kept =
                mLock.get(
                        () -> {
                            if (mClosed) {
                                return false;
                            }
                            mIdle.addFirst(connection);
                            return true;
                        });
        if (!kept) {
            connection.abort();
        }
    }

    void onClosed(final TargetConnection connection) {
        mLock.run(
                () -> {
                    mOpenCount--;
                    mIdle.remove(connection);
                });
    }

    private static void runOn(final EventLoop loop, final Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    @Override
    public void close() {
        final List<TargetConnection> idle =
                mLock.get(
                        () -> {
                            mClosed = true;
                            final List<TargetConnection> all = List.copyOf(mIdle);
                            mIdle.clear();
                            return all;
                        });
        idle.forEach(connection -> runOn(connection.eventLoop(), connection::abort));
    }
}
