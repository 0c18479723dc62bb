package io.bilberrylane.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;

/**
 * One outbound connection to a node. All state is confined to the channel's event loop; messages
 * sent before the connection is established are queued.
 */
final class PeerLink extends SimpleChannelInboundHandler<PeerMessage> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long PING_TIMEOUT_MILLIS = 1_500;

    /** A longer time from ping to pong tells of a pause of a node, not of the distance. */
    private static final long MAX_ROUND_TRIP_NANOS = 1_000_000_000L;

    private record PendingRequest(
            Consumer<Optional<PeerMessage.Reply>> consumer, ScheduledFuture<?> timeout) {}

    private final NodeIdentity mIdentity;
    private final Consumer<PeerLink> mOnClosed;
    private final BooleanSupplier mIsRoundTripMeasured;
    private final LongConsumer mOnRoundTrip;
    private final Map<Integer, ClientStream> mStreams = new HashMap<>();
    private final Map<Long, PendingRequest> mPendingRequests = new HashMap<>();
    private final Deque<PeerMessage> mQueuedMessages = new ArrayDeque<>();
    private Channel mChannel;
    private boolean mActive;
    private boolean mWasActive;
    private boolean mClosed;
    private int mNextStreamId = 1;
    private long mNextRequestId = 1;
    private long mPeerIncarnation = NodeIdentity.UNKNOWN_INCARNATION;
    private long mLastReadNanos;
    private long mPingSentNanos;
    private long mLastCheckNanos;

    PeerLink(
            final NodeIdentity identity,
            final Consumer<PeerLink> onClosed,
            final BooleanSupplier isRoundTripMeasured,
            final LongConsumer onRoundTrip) {
        mIdentity = identity;
        mOnClosed = onClosed;
        mIsRoundTripMeasured = isRoundTripMeasured;
        mOnRoundTrip = onRoundTrip;
    }

    /** Sets the channel. Must be called before the link is used. */
    void attach(final Channel channel) {
        mChannel = channel;
    }

    // -- calls and requests

    BodySink open(final CallHead head, final ResponseSink sink) {
        final ClientStream stream = new ClientStream(this, sink);
        runOnEventLoop(
                () -> {
                    if (mClosed) {
                        stream.onLinkLost(false, NodeIdentity.UNKNOWN_INCARNATION);
                        return;
                    }
                    stream.assignId(mNextStreamId++);
                    mStreams.put(stream.id(), stream);
                    send(new PeerMessage.Open(stream.id(), head));
                });
        return stream;
    }

    void request(
            final LongFunction<PeerMessage.Request> requestFactory,
            final long timeoutMillis,
            final Consumer<Optional<PeerMessage.Reply>> consumer) {
        runOnEventLoop(
                () -> {
                    if (mClosed) {
                        consumer.accept(Optional.empty());
                        return;
                    }
                    final long id = mNextRequestId++;
                    final ScheduledFuture<?> timeout =
                            mChannel.eventLoop()
                                    .schedule(
                                            () -> completeRequest(id, Optional.empty()),
                                            timeoutMillis,
                                            TimeUnit.MILLISECONDS);
                    mPendingRequests.put(id, new PendingRequest(consumer, timeout));
                    send(requestFactory.apply(id));
                });
    }

    void close() {
        runOnEventLoop(() -> mChannel.close());
    }

    void runOnEventLoop(final Runnable action) {
        if (mChannel.eventLoop().inEventLoop()) {
            action.run();
        } else {
            mChannel.eventLoop().execute(action);
        }
    }

    void send(final PeerMessage message) {
        if (mActive) {
            mChannel.writeAndFlush(message);
        } else if (!mClosed) {
            mQueuedMessages.add(message);
        }
    }

    void removeStream(final int streamId) {
        mStreams.remove(streamId);
    }

    // -- events

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        mActive = true;
        mWasActive = true;
        mLastReadNanos = System.nanoTime();
        ctx.write(mIdentity.hello());
        for (final PeerMessage message : mQueuedMessages) {
            ctx.write(message);
        }
        mQueuedMessages.clear();
        if (mIsRoundTripMeasured.getAsBoolean()) {
            // This ping measures the distance; the liveness of the link is checked by later ones.
            ctx.write(new PeerMessage.Ping(mLastReadNanos));
        }
        ctx.flush();
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final PeerMessage message) {
        mLastReadNanos = System.nanoTime();
        switch (message) {
            case PeerMessage.Hello hello -> mPeerIncarnation = hello.incarnation();
            case PeerMessage.Ping ping -> ctx.writeAndFlush(new PeerMessage.Pong(ping.nonce()));
            case PeerMessage.Pong pong -> onPong(pong);
            case PeerMessage.StreamMessage stream -> onStream(stream);
            case PeerMessage.Reply reply -> completeRequest(reply.requestId(), Optional.of(reply));
            case PeerMessage.Request request ->
                    throw FieldReader.protocolViolation("request on an outbound link", null);
            case PeerMessage.Unknown unknown ->
                    LOGGER.atFine().log("ignoring message of unknown type %d", unknown.type());
        }
    }

    private void onStream(final PeerMessage.StreamMessage message) {
        final ClientStream stream = mStreams.get(message.streamId());
        if (stream == null) {
            return;
        }
        final ResponseSink sink = stream.sink();
        switch (message) {
            case PeerMessage.Admit m -> sink.onAdmitted(m.load());
            case PeerMessage.Refuse m -> {
                mStreams.remove(m.streamId());
                sink.onRefused(m.refusal(), m.load());
            }
            case PeerMessage.Head m -> sink.onHead(m.head());
            case PeerMessage.Data m -> sink.onData(Unpooled.wrappedBuffer(m.bytes()));
            case PeerMessage.End m -> {
                mStreams.remove(m.streamId());
                sink.onEnd(m.load());
            }
            case PeerMessage.Response m -> {
                mStreams.remove(m.streamId());
                sink.onResponse(m.head(), Unpooled.wrappedBuffer(m.bytes()), m.load());
            }
            case PeerMessage.Credit m -> sink.onCredit(m.bytes());
            case PeerMessage.Fail m -> {
                mStreams.remove(m.streamId());
                sink.onFailed(m.code(), m.phase());
            }
            case PeerMessage.Open m ->
                    throw FieldReader.protocolViolation("Open on an outbound link", null);
            case PeerMessage.Cancel m ->
                    throw FieldReader.protocolViolation("Cancel on an outbound link", null);
        }
    }

    private void completeRequest(final long requestId, final Optional<PeerMessage.Reply> reply) {
        final PendingRequest pending = mPendingRequests.remove(requestId);
        if (pending != null) {
            pending.timeout().cancel(false);
            pending.consumer().accept(reply);
        }
    }

    // -- liveness

    private void onPong(final PeerMessage.Pong pong) {
        mPingSentNanos = 0;
        final long roundTripNanos = mLastReadNanos - pong.nonce();
        if (roundTripNanos > 0 && roundTripNanos < MAX_ROUND_TRIP_NANOS) {
            mOnRoundTrip.accept(roundTripNanos);
        }
    }

    /** Called each {@value #CHECK_INTERVAL_MILLIS} ms, from any thread. */
    void checkLiveness() {
        runOnEventLoop(this::pingOrClose);
    }

    private void pingOrClose() {
        if (!mActive) {
            return;
        }
        final long now = System.nanoTime();
        final boolean wasPaused =
                mLastCheckNanos != 0
                        && now - mLastCheckNanos
                                > TimeUnit.MILLISECONDS.toNanos(2 * CHECK_INTERVAL_MILLIS);
        mLastCheckNanos = now;
        if (wasPaused) {
            mLastReadNanos = now;
        }
        final boolean timedOut =
                mPingSentNanos != 0
                        && now - mPingSentNanos > TimeUnit.MILLISECONDS.toNanos(PING_TIMEOUT_MILLIS)
                        && now - mLastReadNanos
                                > TimeUnit.MILLISECONDS.toNanos(PING_TIMEOUT_MILLIS);
        if (timedOut) {
            LOGGER.atWarning().log("closing link %s: ping timed out", mChannel);
            mChannel.close();
        } else if (mPingSentNanos == 0 && !(mStreams.isEmpty() && mPendingRequests.isEmpty())) {
            mPingSentNanos = now;
            mChannel.writeAndFlush(new PeerMessage.Ping(now));
        }
    }

    void onConnectFailed() {
        mChannel.eventLoop().execute(this::terminate);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        terminate();
    }

    private void terminate() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mActive = false;
        mQueuedMessages.clear();
        mOnClosed.accept(this);
        final List<ClientStream> streams = List.copyOf(mStreams.values());
        mStreams.clear();
        final boolean wasSent = mWasActive;
        streams.forEach(stream -> stream.onLinkLost(wasSent, mPeerIncarnation));
        List.copyOf(mPendingRequests.keySet()).forEach(id -> completeRequest(id, Optional.empty()));
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "closing link to %s: %s", ctx.channel().remoteAddress(), cause);
        ctx.close();
    }
}
