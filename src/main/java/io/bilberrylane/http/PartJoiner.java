package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Joins the short parts of a body that arrive in one read. Each part costs memory and time of its
 * own on its way, however short it is, and keeps the whole buffer that it was read into.
 */
final class PartJoiner extends ChannelInboundHandlerAdapter {
    private static final int SHORT_BYTES = 1_024;
    private static final int MAX_JOINED_BYTES = 16 * 1024;

    private ByteBuf mJoined;

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        if (message instanceof HttpContent content
                && !(message instanceof LastHttpContent)
                && content.decoderResult().isSuccess()
                && content.content().readableBytes() < SHORT_BYTES) {
            join(ctx, content);
            return;
        }
        forwardJoined(ctx);
        ctx.fireChannelRead(message);
    }

    private void join(final ChannelHandlerContext ctx, final HttpContent content) {
        final ByteBuf bytes = content.content();
        if (mJoined == null) {
            mJoined = ctx.alloc().buffer(bytes.readableBytes(), MAX_JOINED_BYTES);
        }
        mJoined.writeBytes(bytes);
        content.release();
        if (mJoined.readableBytes() > MAX_JOINED_BYTES - SHORT_BYTES) {
            forwardJoined(ctx);
        }
    }

    private void forwardJoined(final ChannelHandlerContext ctx) {
        if (mJoined != null) {
            final ByteBuf joined = mJoined;
            mJoined = null;
            ctx.fireChannelRead(new DefaultHttpContent(joined));
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext ctx) {
        forwardJoined(ctx);
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        forwardJoined(ctx);
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(final ChannelHandlerContext ctx) {
        if (mJoined != null) {
            mJoined.release();
            mJoined = null;
        }
    }
}
