package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A connection to a target, which serves one exchange at a time. All state is confined to its event
 * loop.
 */
public final class TargetConnection extends ChannelInboundHandlerAdapter {
    private static final long ABORT_TIMEOUT_MILLIS = 100;

    /** An aborted exchange is read up to this length for the end that shows that it was noticed. */
    private static final long MAX_ABORT_BYTES = 1024 * 1024;

    private static final int SWITCHING_PROTOCOLS = 101;

    /** More responses that do not answer the request, such as informational ones, break it off. */
    private static final int MAX_SKIPPED_RESPONSES = 64;

    /** A connection that has carried so many requests that have an identity is not used again. */
    static final int MAX_IDENTITIES = 1_024;

    /** More bytes of responses to other requests break the exchange off. */
    private static final long MAX_SKIPPED_BYTES = 4L * 1024 * 1024;

    private final TargetConnectionPool mPool;
    private final EndOfStreamHandler mEndOfStreamHandler = new EndOfStreamHandler();
    private final TargetResponseDecoder mDecoder = new TargetResponseDecoder(this);
    private final OneMessagePerReadHandler mMessages = new OneMessagePerReadHandler();
    private volatile Channel mChannel;
    private TargetResponseListener mListener;
    private Runnable mAbortListener;
    private long mAbortBytes;
    private boolean mSkippingInformational;
    private boolean mSkippingMismatched;
    private int mSkippedResponses;
    private long mSkippedBytes;
    private int mExchangeCount;

    /** Hashes suffice: two identities with the same one cost no more than a new connection. */
    private final Set<Integer> mIdentityHashes = new HashSet<>();

    private boolean mReusable;
    private boolean mEndsWithConnection;
    private boolean mRequestSent;
    private String mMethod = "";
    private long mIdleSinceNanos = System.nanoTime();

    TargetConnection(final TargetConnectionPool pool) {
        mPool = pool;
    }

    /**
     * Sets the channel, which is new, and adds its handlers. The pool and the exchange learn of its
     * end from the channel itself: an event in its pipeline may be lost, because Netty removes the
     * handlers of a closed channel. The exchange ends a little later, never within its own call.
     */
    void attach(final Channel channel) {
        mChannel = channel;
        channel.closeFuture()
                .addListener(
                        closed -> {
                            mPool.onClosed(this);
                            channel.eventLoop().execute(this::onClosed);
                        });
        channel.pipeline()
                .addLast(mEndOfStreamHandler)
                .addLast(mDecoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new PartJoiner())
                .addLast(mMessages)
                .addLast(this);
    }

    EventLoop eventLoop() {
        return mChannel.eventLoop();
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false until it is connected, and once either end has closed it
     */
    public boolean isOpen() {
        final Channel channel = mChannel;
        return channel != null && channel.isActive();
    }

    /** Returns whether the target may send something: an exchange, or its abort, is in progress. */
    boolean isInService() {
        return mListener != null || mAbortListener != null;
    }

    /** Returns whether an exchange is in progress that was not aborted. */
    boolean hasListener() {
        return mListener != null;
    }

    boolean isHeadRequest() {
        return mMethod.equals("HEAD");
    }

    /**
     * Returns whether the connection has carried an exchange before the current one.
     *
     * @return false during the first exchange
     */
    public boolean isReused() {
        return mExchangeCount > 1;
    }

    /**
     * Returns the number of exchanges that the connection has carried, with the current one.
     *
     * @return a count
     */
    public int exchangeCount() {
        return mExchangeCount;
    }

    /**
     * Returns the number of responses to other requests, and of informational ones, that were
     * skipped in the current exchange.
     *
     * @return a count
     */
    public int skippedResponses() {
        return mSkippedResponses;
    }

    /**
     * Returns a short name of the connection for the log.
     *
     * @return a name that is unique among the connections of this process with high probability
     */
    public String name() {
        return mChannel.id().asShortText();
    }

    /**
     * Returns whether the connection has carried a request with an identity. A late response to
     * that request could then be taken for the response to another one with the same identity.
     *
     * @param identity the identity; empty if the request has none
     * @return false if it certainly has not; always false for an empty identity
     */
    boolean hasCarried(final String identity) {
        return !identity.isEmpty() && mIdentityHashes.contains(identity.hashCode());
    }

    long idleNanos(final long nowNanos) {
        return nowNanos - mIdleSinceNanos;
    }

    // -- exchange

    /**
     * Starts an exchange of a request without an identity.
     *
     * @param request the head of the request
     * @param endOfRequest whether the request has no body
     * @param listener receives the response
     */
    public void send(
            final HttpRequest request,
            final boolean endOfRequest,
            final TargetResponseListener listener) {
        send(request, "", endOfRequest, listener);
    }

    /**
     * Starts an exchange. From then on the target may have received the request.
     *
     * @param request the head of the request
     * @param identity the identity that the target repeats in its response; empty if there is none
     * @param endOfRequest whether the request has no body
     * @param listener receives the response
     */
    public void send(
            final HttpRequest request,
            final String identity,
            final boolean endOfRequest,
            final TargetResponseListener listener) {
        runOnLoop(() -> start(request, identity, endOfRequest, listener));
    }

    private void start(
            final HttpRequest request,
            final String identity,
            final boolean endOfRequest,
            final TargetResponseListener listener) {
        if (!mChannel.isActive()) {
            eventLoop().execute(() -> listener.onFailure(new ClosedChannelException()));
            return;
        }
        mListener = listener;
        mExchangeCount++;
        if (!identity.isEmpty()) {
            mIdentityHashes.add(identity.hashCode());
        }
        mReusable = mIdentityHashes.size() < MAX_IDENTITIES;
        mEndsWithConnection = false;
        mMethod = request.method().name();
        mSkippedResponses = 0;
        mSkippedBytes = 0;
        mRequestSent = endOfRequest;
        mChannel.writeAndFlush(endOfRequest ? withoutBody(request) : request);
        mChannel.read();
    }

    /** Returns a whole request, which passes the channel's handlers once instead of twice. */
    private static HttpRequest withoutBody(final HttpRequest head) {
        return new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.EMPTY_BUFFER,
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
    }

    /**
     * Sends a part of the request body.
     *
     * @param bytes the part; the connection takes ownership and releases it
     */
    public void sendBody(final ByteBuf bytes) {
        final int length = bytes.readableBytes();
        mChannel.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(
                        done -> {
                            if (done.isSuccess() && mListener != null) {
                                mListener.onBodyWritten(length);
                            }
                        });
    }

    /** Ends the request body. */
    public void endBody() {
        runOnLoop(
                () -> {
                    mRequestSent = true;
                    mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                });
    }

    /** Requests the next part of the response. */
    public void read() {
        mChannel.read();
    }

    /** Returns the unused connection to the pool. */
    public void release() {
        if (isOpen()) {
            mPool.release(this);
        }
    }

    /** Aborts the exchange and closes the connection, which signals the abort to the target. */
    public void abort() {
        runOnLoop(
                () -> {
                    mListener = null;
                    mChannel.close();
                });
    }

    /**
     * Aborts the exchange and waits for the target to notice. Only the sending direction is closed
     * at first, so that the end of the other one shows that the target no longer works on the
     * request.
     *
     * @param onNoticed runs once, when the target has closed the connection or answered, and at the
     *     latest after {@value #ABORT_TIMEOUT_MILLIS} ms, when the connection is closed
     */
    public void abort(final Runnable onNoticed) {
        runOnLoop(() -> startAbort(onNoticed));
    }

    /** Calls of one thread keep their order, on whatever event loop the exchange's owner runs. */
    private void runOnLoop(final Runnable action) {
        if (eventLoop().inEventLoop()) {
            action.run();
        } else {
            eventLoop().execute(action);
        }
    }

    private void startAbort(final Runnable onNoticed) {
        mListener = null;
        if (!mChannel.isActive() || !(mChannel instanceof DuplexChannel duplex)) {
            mChannel.close();
            onNoticed.run();
            return;
        }
        mAbortListener = onNoticed;
        mAbortBytes = 0;
        mChannel.config().setAutoRead(true);
        duplex.shutdownOutput();
        eventLoop().schedule(this::endAbort, ABORT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void endAbort() {
        final Runnable listener = mAbortListener;
        mAbortListener = null;
        if (listener != null) {
            mChannel.close();
            listener.run();
        }
    }

    // -- events

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        ctx.read();
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        if (mListener == null) {
            mAbortBytes +=
                    message instanceof HttpContent content ? content.content().readableBytes() : 0;
            ReferenceCountUtil.release(message);
            if (mAbortListener == null
                    || message instanceof LastHttpContent
                    || mAbortBytes > MAX_ABORT_BYTES) {
                endAbort();
                ctx.close();
            }
            return;
        }
        if (message instanceof HttpResponse response) {
            onResponse(ctx, response);
        } else if (message instanceof HttpContent content) {
            onContent(ctx, content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void onResponse(final ChannelHandlerContext ctx, final HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(new RejectedResponseException(response.decoderResult().cause()));
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
            fail(
                    new RejectedResponseException(
                            "the response has the undefined status " + response.status().code()));
            return;
        }
        if (isJoined(response)) {
            fail(
                    new RejectedResponseException(
                            "the head of a response continues that of an earlier one"));
            return;
        }
        if (response.status().code() == SWITCHING_PROTOCOLS) {
            fail(
                    new RejectedResponseException(
                            "the target switches protocols, which nobody asked for"));
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkippingInformational = true;
            countSkipped(1, 0);
            ctx.read();
            return;
        }
        final boolean isKeepAlive = HttpUtil.isKeepAlive(response);
        if (mListener.onResponse(response)) {
            mReusable &= isKeepAlive;
            mEndsWithConnection =
                    !isFramed(response) && Headers.mayHaveBody(mMethod, response.status().code());
        } else {
            mSkippingMismatched = true;
            mReusable = false;
            countSkipped(1, 0);
        }
        ctx.read();
    }

    /**
     * Returns whether a head is joined from an earlier response and another one. The first exchange
     * of a connection has no earlier response: a target whose heads hold status lines there quotes
     * them itself, and its fields are not judged by them any more.
     */
    private boolean isJoined(final HttpResponse response) {
        if (JoinedHeads.isInReason(response)) {
            return true;
        }
        if (!JoinedHeads.isInField(response)) {
            return false;
        }
        if (!isReused()) {
            mPool.countQuotedStatusLine();
        }
        return !mPool.isStatusLineQuoted();
    }

    /** Returns whether the end of a response's body is told by its head. */
    private static boolean isFramed(final HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Breaks the exchange off if the target sends too much that does not belong to it. */
    private void countSkipped(final int responses, final int bytes) {
        mSkippedResponses += responses;
        mSkippedBytes += bytes;
        if (mSkippedResponses > MAX_SKIPPED_RESPONSES || mSkippedBytes > MAX_SKIPPED_BYTES) {
            fail(
                    new RejectedResponseException(
                            "too many responses that do not belong to the request"));
        }
    }

    private void onContent(final ChannelHandlerContext ctx, final HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            fail(new RejectedResponseException(content.decoderResult().cause()));
            return;
        }
        final boolean last = content instanceof LastHttpContent;
        if (mSkippingInformational || mSkippingMismatched) {
            countSkipped(0, content.content().readableBytes());
            content.release();
            mSkippingInformational &= !last;
            mSkippingMismatched &= !last;
            ctx.read();
            return;
        }
        if (content.content().isReadable()) {
            mListener.onContent(content.content());
        } else {
            content.release();
            if (!last) {
                ctx.read();
            }
        }
        if (last && mEndsWithConnection && !mEndOfStreamHandler.isEndOfStream()) {
            fail(new IOException("connection lost during a response without a length"));
        } else if (last) {
            complete(ctx);
        }
    }

    private void complete(final ChannelHandlerContext ctx) {
        final TargetResponseListener listener = mListener;
        if (listener == null) {
            return;
        }
        mListener = null;
        mIdleSinceNanos = System.nanoTime();
        if (mReusable && mRequestSent && ctx.channel().isActive() && !hasRest()) {
            ctx.read();
            mPool.release(this);
        } else {
            ctx.close();
        }
        listener.onComplete();
    }

    /** Returns whether anything has arrived after the response, be it the end of the stream. */
    private boolean hasRest() {
        return mMessages.hasMessages()
                || mDecoder.hasUndecodedBytes()
                || mEndOfStreamHandler.isEndOfStream();
    }

    /** Called when the rest of a body is missing and another response stands in its place. */
    void onContinuedBody() {
        fail(
                new RejectedResponseException(
                        "the response is truncated in its body, and another one continues it"));
    }

    private void fail(final Throwable cause) {
        final TargetResponseListener listener = mListener;
        mListener = null;
        mChannel.close();
        if (listener != null) {
            listener.onFailure(cause);
        }
    }

    private void onClosed() {
        endAbort();
        fail(
                mEndsWithConnection
                        ? new IOException("connection lost during a response without a length")
                        : new ClosedChannelException());
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        fail(cause instanceof IOException ? cause : new IOException(cause));
    }
}
