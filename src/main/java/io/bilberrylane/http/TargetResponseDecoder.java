package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the responses of a target. Closes the connection when bytes arrive that nothing was sent
 * for, and tells whether bytes are left after a response, so that neither spoils the next one.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final TargetConnection mConnection;
    private int mUndecodedBytes;
    private boolean mInMessage;

    TargetResponseDecoder(final TargetConnection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
        mConnection = connection;
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
            ReferenceCountUtil.release(message);
            ctx.close();
        }
    }

    @Override
    protected void decode(
            final ChannelHandlerContext ctx, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        final int before = bytes.readableBytes();
        super.decode(ctx, bytes, messages);
        mUndecodedBytes = bytes.readableBytes();
        if (!messages.isEmpty()) {
            mInMessage = !(messages.get(messages.size() - 1) instanceof LastHttpContent);
        } else if (mUndecodedBytes < before) {
            mInMessage = true;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        final boolean isFinal =
                ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
        return isFinal && mConnection.isHeadRequest() || super.isContentAlwaysEmpty(message);
    }
}
