package io.bilberrylane.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Distinguishes a connection that the other end closed regularly from one that was lost. Netty
 * closes the channel in both cases, and after a failed write without an exception. Needs {@code
 * ALLOW_HALF_CLOSURE}, with which a regular end is an event, and forwards it. Closes the channel on
 * the event that follows a failed read.
 */
final class EndOfStreamHandler extends ChannelInboundHandlerAdapter {
    private boolean mFailed;
    private boolean mEndOfStream;

    /**
     * Returns whether everything that the other end sent has arrived.
     *
     * @return false before that, and if the connection was reset, timed out or was closed here
     */
    boolean isEndOfStream() {
        return mEndOfStream;
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (mFailed) {
                ctx.close();
                return;
            }
            mEndOfStream = true;
        }
        ctx.fireUserEventTriggered(event);
    }

    /** A failed read shuts the input down, too, but later. */
    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        mFailed = true;
        ctx.fireExceptionCaught(cause);
    }
}
