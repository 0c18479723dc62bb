package io.bilberrylane.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Forwards one message for each requested read. Closes the channel when the other end has closed
 * its side, but only after the last message, so that a response is delivered completely even if its
 * reader is slow. Needs {@code ALLOW_HALF_CLOSURE}. Nothing is delivered once the channel is
 * closed: Netty then removes the handlers.
 */
final class OneMessagePerReadHandler extends ChannelDuplexHandler {
    private final Deque<Object> mQueue = new ArrayDeque<>();
    private boolean mReadRequested;
    private boolean mForwarding;
    private boolean mEndPending;

    boolean hasMessages() {
        return !mQueue.isEmpty();
    }

    @Override
    public void read(final ChannelHandlerContext ctx) {
        mReadRequested = true;
        forward(ctx);
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        mQueue.addLast(message);
        forward(ctx);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        if (mReadRequested && mQueue.isEmpty()) {
            ctx.read();
        }
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            mEndPending = true;
            forward(ctx);
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void close(final ChannelHandlerContext ctx, final ChannelPromise promise) {
        releaseQueue();
        ctx.close(promise);
    }

    @Override
    public void handlerRemoved(final ChannelHandlerContext ctx) {
        releaseQueue();
    }

    private void releaseQueue() {
        mQueue.forEach(ReferenceCountUtil::release);
        mQueue.clear();
    }

    private void forward(final ChannelHandlerContext ctx) {
        if (mForwarding) {
            return;
        }
        mForwarding = true;
        while (!mQueue.isEmpty() && (mReadRequested || ctx.channel().config().isAutoRead())) {
            mReadRequested = false;
            ctx.fireChannelRead(mQueue.pollFirst());
        }
        mForwarding = false;
        if (mQueue.isEmpty()) {
            if (mEndPending) {
                ctx.close();
            } else if (mReadRequested) {
                ctx.read();
            }
        }
    }
}
