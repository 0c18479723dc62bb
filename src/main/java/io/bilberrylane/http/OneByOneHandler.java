package io.bilberrylane.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes one message on for each read that is asked for, and the end of the connection only after
 * the last message, so that an answer whose reader is slow is still passed on whole.
 */
final class OneByOneHandler extends ChannelDuplexHandler {
    private final Deque<Object> mQueue = new ArrayDeque<>();
    private boolean mWanted;
    private boolean mPassing;
    private boolean mInactive;

    @Override
    public void read(final ChannelHandlerContext ctx) {
        mWanted = true;
        pass(ctx);
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        mQueue.addLast(message);
        pass(ctx);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        if (mWanted && mQueue.isEmpty()) {
            ctx.read();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        mInactive = true;
        pass(ctx);
    }

    @Override
    public void close(final ChannelHandlerContext ctx, final ChannelPromise promise) {
        drop();
        ctx.close(promise);
    }

    @Override
    public void handlerRemoved(final ChannelHandlerContext ctx) {
        drop();
    }

    private void drop() {
        mQueue.forEach(ReferenceCountUtil::release);
        mQueue.clear();
    }

    private void pass(final ChannelHandlerContext ctx) {
        if (mPassing) {
            return;
        }
        mPassing = true;
        while (!mQueue.isEmpty() && (mWanted || ctx.channel().config().isAutoRead())) {
            mWanted = false;
            ctx.fireChannelRead(mQueue.pollFirst());
        }
        mPassing = false;
        if (mQueue.isEmpty()) {
            if (mInactive) {
                mInactive = false;
                ctx.fireChannelInactive();
            } else if (mWanted) {
                ctx.read();
            }
        }
    }
}
