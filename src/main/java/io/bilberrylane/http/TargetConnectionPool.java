package io.bilberrylane.http;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The pool of connections to one target. It never opens more connections than the target accepts
 * and keeps a minimum number of idle ones open. It counts the connections that it holds: each is
 * added before its channel is created, and removed when the channel is closed or was not connected.
 */
public final class TargetConnectionPool implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Long enough for one connection to be closed, or to be opened and returned unused. */
    static final long MAX_WAIT_MILLIS = 50;

    /** More status lines in first responses are no accident: the target quotes them. */
    private static final int MAX_UNEXPLAINED_STATUS_LINES = 2;

    /** One line a second at most tells that requests are refused. */
    private static final long LINE_INTERVAL_NANOS = 1_000_000_000L;

    private final Transport mTransport;
    private final TargetPoolSettings mSettings;
    private final long mMaxWaitMillis;
    private final RankedLock mLock = RankedLock.of(LockRank.TARGET_POOL);
    private final Set<TargetConnection> mConnections = new HashSet<>();
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private final Deque<ConnectionRequest> mWaiting = new ArrayDeque<>();
    private final AtomicInteger mQuotedStatusLines = new AtomicInteger();
    private boolean mClosed;
    private long mRefusedCount;
    private long mLastLineNanos;

    private TargetConnectionPool(
            final Transport transport,
            final TargetPoolSettings settings,
            final long maxWaitMillis) {
        mTransport = transport;
        mSettings = settings;
        mMaxWaitMillis = maxWaitMillis;
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
        return of(transport, settings, MAX_WAIT_MILLIS);
    }

    /** Returns a pool where a request waits for a connection for the given time at most. */
    static TargetConnectionPool of(
            final Transport transport,
            final TargetPoolSettings settings,
            final long maxWaitMillis) {
        final TargetConnectionPool pool =
                new TargetConnectionPool(
                        Objects.requireNonNull(transport, "transport is null"),
                        Objects.requireNonNull(settings, "settings is null"),
                        maxWaitMillis);
        pool.ensureMinIdle();
        return pool;
    }

    // -- use

    /**
     * Acquires a connection for a request without an identity.
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
        acquire(loop, maxIdleNanos, "", onReady, onFailed);
    }

    /**
     * Acquires a connection that has not carried a request with the same identity. At the limit, an
     * idle connection that does not fit is closed and a new one opened in its place. A request
     * waits {@value #MAX_WAIT_MILLIS} ms at most for that, or for one that is being opened or
     * closed; it fails with a {@link ConnectionLimitException} if all serve exchanges.
     *
     * @param loop the preferred event loop of the connection; a new one is registered with it
     * @param maxIdleNanos the longest idle time of a connection that is reused, in nanoseconds
     * @param identity the identity of the request; empty if it has none
     * @param onReady receives the connection, on the connection's event loop
     * @param onFailed receives the cause; the target has not received anything
     */
    public void acquire(
            final EventLoop loop,
            final long maxIdleNanos,
            final String identity,
            final Consumer<TargetConnection> onReady,
            final Consumer<Throwable> onFailed) {
        final ConnectionRequest request =
                new ConnectionRequest(loop, maxIdleNanos, identity, onReady, onFailed);
        mLock.get(() -> admit(request)).run();
    }

    /**
     * Returns the number of connections that are open or being opened.
     *
     * @return a number that is at most what the target accepts
     */
    public int open() {
        return mLock.get(mConnections::size);
    }

    /**
     * Returns the numbers of the pool.
     *
     * @return the numbers at one moment
     */
    public TargetPoolState state() {
        return mLock.get(
                () ->
                        new TargetPoolState(
                                mSettings.connectionLimit(),
                                mConnections.size(),
                                (int)
                                        mConnections.stream()
                                                .filter(TargetConnection::isOpen)
                                                .count(),
                                mIdle.size(),
                                mWaiting.size(),
                                mRefusedCount));
    }

    /** Returns the next step for a request, which is taken without the lock. */
    private Runnable admit(final ConnectionRequest request) {
        final Optional<TargetConnection> idle = takeIdle(request);
        if (idle.isPresent()) {
            return () -> {
                runOn(idle.get().eventLoop(), () -> request.onReady().accept(idle.get()));
                ensureMinIdle();
            };
        }
        if (mClosed) {
            return () -> refuseClosed(request);
        }
        if (mConnections.size() < mSettings.connectionLimit()) {
            return connectStep(request);
        }
        final TargetConnection replaced = mIdle.pollLast();
        if (replaced == null && isNoneFreeSoon()) {
            return () -> refuse(request);
        }
        mWaiting.addLast(request);
        return () -> {
            if (replaced != null) {
                replaced.abort();
            }
            request.loop()
                    .schedule(
                            () -> onWaitedTooLong(request), mMaxWaitMillis, TimeUnit.MILLISECONDS);
        };
    }

    /** Returns whether no more connections are being opened, returned or closed than awaited. */
    private boolean isNoneFreeSoon() {
        final long free = mConnections.stream().filter(other -> !other.isInService()).count();
        return free - mIdle.size() <= mWaiting.size();
    }

    /** Takes a place for a new connection and returns the step that opens it. */
    private Runnable connectStep(final ConnectionRequest request) {
        final TargetConnection connection = new TargetConnection(this);
        mConnections.add(connection);
        return () -> connect(connection, request);
    }

    private Optional<TargetConnection> takeIdle(final ConnectionRequest request) {
        final long now = System.nanoTime();
        final Iterator<TargetConnection> connections = mIdle.iterator();
        TargetConnection otherLoopConnection = null;
        while (connections.hasNext()) {
            final TargetConnection connection = connections.next();
            if (!request.isServedBy(connection, now)) {
                continue;
            }
            if (connection.eventLoop() == request.loop()) {
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

    private void onWaitedTooLong(final ConnectionRequest request) {
        final boolean wasWaiting = mLock.get(() -> mWaiting.remove(request));
        if (wasWaiting) {
            refuse(request);
        }
    }

    private static void refuseClosed(final ConnectionRequest request) {
        request.onFailed().accept(new ConnectionLimitException("the target's pool is closed"));
    }

    private void refuse(final ConnectionRequest request) {
        if (countRefusal()) {
            final TargetPoolState state = state();
            DecisionLog.event("connection-limit")
                    .with("target", mSettings.address())
                    .with("limit", state.limit())
                    .with("counted", state.counted())
                    .with("open", state.open())
                    .with("idle", state.idle())
                    .with("waiting", state.waiting())
                    .with("refused", state.refused())
                    .write();
        }
        request.onFailed()
                .accept(new ConnectionLimitException("the target's pool is at its limit"));
    }

    /** Counts a refusal; returns whether it is time for a line in the log. */
    private boolean countRefusal() {
        return mLock.get(
                () -> {
                    final long now = System.nanoTime();
                    final boolean isFirst = mRefusedCount == 0;
                    mRefusedCount++;
                    if (!isFirst && now - mLastLineNanos < LINE_INTERVAL_NANOS) {
                        return false;
                    }
                    mLastLineNanos = now;
                    return true;
                });
    }

    // -- connections

    private void ensureMinIdle() {
        final ConnectionRequest spare =
                new ConnectionRequest(mTransport.group().next(), 0, "", this::release, cause -> {});
        final Optional<Runnable> step =
                mLock.get(
                        () ->
                                !mClosed
                                                && mIdle.size() < mSettings.minIdleConnections()
                                                && mConnections.size() < mSettings.connectionLimit()
                                        ? Optional.of(connectStep(spare))
                                        : Optional.empty());
        step.ifPresent(Runnable::run);
    }

    private void connect(final TargetConnection connection, final ConnectionRequest request) {
        mTransport
                .clientBootstrap(request.loop())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(final Channel channel) {
                                connection.attach(channel);
                            }
                        })
                .connect(mSettings.address())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                request.onReady().accept(connection);
                            } else {
                                onClosed(connection);
                                request.onFailed().accept(done.cause());
                            }
                        });
    }

    /** Returns a connection that has no exchange any more. */
    void release(final TargetConnection connection) {
        mLock.get(() -> keepOrPass(connection)).run();
    }

    /** Keeps a connection idle, passes it to a request that waits, or closes it for another. */
    private Runnable keepOrPass(final TargetConnection connection) {
        if (mClosed || !mConnections.contains(connection)) {
            return () -> connection.abort();
        }
        if (mWaiting.isEmpty()) {
            mIdle.addFirst(connection);
            return () -> {};
        }
        final long now = System.nanoTime();
        for (final ConnectionRequest waiting : mWaiting) {
            if (waiting.isServedBy(connection, now)) {
                mWaiting.remove(waiting);
                return () ->
                        runOn(connection.eventLoop(), () -> waiting.onReady().accept(connection));
            }
        }
        return () -> connection.abort();
    }

    /** Counts a head that holds a status line though no other response came before it. */
    void countQuotedStatusLine() {
        mQuotedStatusLines.incrementAndGet();
    }

    /** Returns whether the target puts status lines into the fields of its responses. */
    boolean isStatusLineQuoted() {
        return mQuotedStatusLines.get() > MAX_UNEXPLAINED_STATUS_LINES;
    }

    /** Removes a connection that is closed. May run more than once for one connection. */
    void onClosed(final TargetConnection connection) {
        mLock.get(() -> removeClosed(connection)).run();
    }

    /** Removes a connection; a request that waits takes its place. */
    private Runnable removeClosed(final TargetConnection connection) {
        mIdle.remove(connection);
        return mConnections.remove(connection) && !mWaiting.isEmpty()
                ? connectStep(mWaiting.removeFirst())
                : () -> {};
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
        final List<TargetConnection> idle = new ArrayList<>();
        final List<ConnectionRequest> waiting = new ArrayList<>();
        mLock.run(
                () -> {
                    mClosed = true;
                    idle.addAll(mIdle);
                    mIdle.clear();
                    waiting.addAll(mWaiting);
                    mWaiting.clear();
                });
        waiting.forEach(TargetConnectionPool::refuseClosed);
        idle.forEach(TargetConnection::abort);
    }
}
