package io.bilberrylane.http;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes the responses of a target. Closes the connection when bytes arrive that nothing was sent
 * for, and tells whether bytes are left after a response, so that neither spoils the next one.
 * Fails a response whose body is continued by another response.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    /**
     * How long the end of a body waits for the bytes that decide whether it is the beginning of
     * another response. A target writes a head at once, so that its packets follow each other.
     */
    private static final long MAX_HOLD_MILLIS = 10;

    private final TargetConnection mConnection;
    private final ContinuedBody mBody;
    private HttpContent mHeld;
    private int mUndecodedBytes;
    private boolean mInMessage;

    TargetResponseDecoder(final TargetConnection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
        mConnection = connection;
        mBody = new ContinuedBody(connection::hasCarried);
    }

    /** Returns whether bytes have arrived that belong to no whole message yet. */
    boolean hasUndecodedBytes() {
        return mUndecodedBytes > 0 || mInMessage;
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message)
            throws Exception {
        if (mConnection.isInService()) {
            super.channelRead(ctx, message);
        } else {
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "connection %s closed: %s bytes came after the response of exchange %s",
                    mConnection.name(),
                    message instanceof ByteBuf bytes ? bytes.readableBytes() : 0,
                    mConnection.exchangeCount());
            ReferenceCountUtil.release(message);
            ctx.close();
        }
    }

    @Override
    protected void decode(
            final ChannelHandlerContext ctx, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        if (mHeld != null && !resolve(ctx, bytes)) {
            return;
        }
        final int before = bytes.readableBytes();
        final int messagesBefore = messages.size();
        super.decode(ctx, bytes, messages);
        mUndecodedBytes = bytes.readableBytes();
        if (messages.size() > messagesBefore) {
            mInMessage = !(messages.get(messages.size() - 1) instanceof LastHttpContent);
            examine(ctx, bytes, messages, messagesBefore);
        } else if (mUndecodedBytes < before) {
            mInMessage = true;
        }
    }

    /** Called at the end of the stream, which ends a response without a length. */
    @Override
    protected void decodeLast(
            final ChannelHandlerContext ctx, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        super.decodeLast(ctx, bytes, messages);
        final int last = messages.size() - 1;
        if (mInMessage && last >= 0 && messages.get(last) instanceof LastHttpContent) {
            examine(ctx, bytes, messages, last);
        }
        forwardHeld(ctx, mHeld);
    }

    // -- a body that another response continues

    private void examine(
            final ChannelHandlerContext ctx,
            final ByteBuf rest,
            final List<Object> messages,
            final int first) {
        for (int i = first; i < messages.size() && mConnection.hasListener(); i++) {
            final Object message = messages.get(i);
            if (message instanceof HttpResponse response) {
                mBody.begin(
                        HttpUtil.isContentLengthSet(response)
                                && !HttpUtil.isTransferEncodingChunked(response));
            } else if (message instanceof HttpContent content) {
                mBody.add(content.content());
                if (content instanceof LastHttpContent && !isWhole(ctx, content, rest)) {
                    messages.remove(i);
                    return;
                }
            }
        }
    }

    /** Returns false for the end of a body that is rejected, or held until more bytes arrive. */
    private boolean isWhole(
            final ChannelHandlerContext ctx, final HttpContent last, final ByteBuf rest) {
        switch (mBody.end(rest)) {
            case WHOLE -> {
                return true;
            }
            case OPEN -> {
                if (!mayMoreHaveArrived(ctx)) {
                    return true;
                }
                hold(ctx, last);
            }
            case SUSPICIOUS -> hold(ctx, last);
            case CONTINUED -> {
                last.release();
                mConnection.onContinuedBody();
            }
        }
        return false;
    }

    /** Returns whether the last read filled its buffer. */
    private static boolean mayMoreHaveArrived(final ChannelHandlerContext ctx) {
        final RecvByteBufAllocator.Handle reads = ctx.channel().unsafe().recvBufAllocHandle();
        return reads.lastBytesRead() >= reads.attemptedBytesRead();
    }

    private void hold(final ChannelHandlerContext ctx, final HttpContent last) {
        mHeld = last;
        ctx.executor()
                .schedule(() -> forwardHeld(ctx, last), MAX_HOLD_MILLIS, TimeUnit.MILLISECONDS);
        ctx.read();
    }

    /** Decides about the held end of a body. Returns whether the bytes may be decoded. */
    private boolean resolve(final ChannelHandlerContext ctx, final ByteBuf bytes) {
        final HttpContent held = mHeld;
        mUndecodedBytes = bytes.readableBytes();
        switch (mBody.end(bytes)) {
            case WHOLE -> {
                forwardHeld(ctx, held);
                return !ctx.isRemoved();
            }
            case OPEN, SUSPICIOUS -> ctx.read();
            case CONTINUED -> {
                mHeld = null;
                held.release();
                bytes.skipBytes(bytes.readableBytes());
                mConnection.onContinuedBody();
            }
        }
        return false;
    }

    private void forwardHeld(final ChannelHandlerContext ctx, final HttpContent held) {
        if (mHeld == held && held != null) {
            mHeld = null;
            ctx.fireChannelRead(held);
        }
    }

    @Override
    protected void handlerRemoved0(final ChannelHandlerContext ctx) throws Exception {
        ReferenceCountUtil.release(mHeld);
        mHeld = null;
        super.handlerRemoved0(ctx);
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        final boolean isFinal =
                ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
        return isFinal && mConnection.isHeadRequest() || super.isContentAlwaysEmpty(message);
    }
}
