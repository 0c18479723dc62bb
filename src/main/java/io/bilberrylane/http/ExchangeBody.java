package io.bilberrylane.http;

import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.SentParts;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Reads the body of one request, no faster than its receiver grants credit. */
final class ExchangeBody {
    private final ChannelHandlerContext mCtx;
    private final long mDeclaredBytes;
    private BodySink mSink;
    private long mLimitBytes;
    private long mReceivedBytes;
    private int mCreditBytes = CallOpener.INITIAL_CREDIT_BYTES;
    private final SentParts mSentParts = new SentParts();
    private boolean mDone;
    private boolean mReadPending;

    /** Creates the reader of a body; the length is 0 without a body, -1 if unknown. */
    ExchangeBody(final ChannelHandlerContext ctx, final long declaredBytes) {
        mCtx = ctx;
        mDeclaredBytes = declaredBytes;
    }

    /** Sets how long the body may be; returns whether its declared length is within the limit. */
    boolean limit(final long limitBytes) {
        mLimitBytes = limitBytes;
        return mDeclaredBytes <= limitBytes;
    }

    void setSink(final BodySink sink) {
        mSink = sink;
    }

    boolean hasSink() {
        return mSink != null;
    }

    boolean isExpected() {
        return mDeclaredBytes != 0;
    }

    boolean isDone() {
        return mDone;
    }

    // -- reading

    /**
     * Reads the empty last content of a request without a body; the read that follows detects when
     * the caller disconnects. If there is a body and the call is already admitted, reads the body.
     */
    void start(final boolean admitted) {
        if (!isExpected()) {
            requestRead();
        } else if (admitted) {
            read();
        }
    }

    void read() {
        if (!mDone && !mReadPending && mCreditBytes > 0 && !mSentParts.isFull()) {
            requestRead();
        }
    }

    private void requestRead() {
        mReadPending = true;
        mCtx.read();
    }

    void onRead() {
        mReadPending = false;
    }

    /** Passes on a part of the body; returns false, and passes nothing on, if it is too long. */
    boolean receive(final ByteBuf bytes, final boolean last) {
        final int length = bytes.readableBytes();
        mReceivedBytes += length;
        if (mReceivedBytes > mLimitBytes) {
            bytes.release();
            return false;
        }
        mCreditBytes -= length;
        if (length > 0) {
            mSentParts.send(length);
            mSink.data(bytes);
        } else {
            bytes.release();
        }
        if (last) {
            mDone = true;
            if (isExpected()) {
                mSink.end();
            }
            requestRead();
        } else {
            read();
        }
        return true;
    }

    void grant(final int bytes) {
        mCreditBytes += bytes;
        mSentParts.credit(bytes);
    }

    // -- the call

    void cancel() {
        if (mSink != null) {
            mSink.cancel();
        }
    }

    /** Passes on that the caller has taken a part of the response. */
    void creditResponse(final int bytes) {
        if (mSink != null) {
            mSink.credit(bytes);
        }
    }
}
