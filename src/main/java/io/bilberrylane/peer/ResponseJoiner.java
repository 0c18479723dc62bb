package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.EventExecutor;

/**
 * Joins head, data and end of a short response, so that they take one message and one write instead
 * of three. Holds the beginning of a response until the event loop has handled what it has read.
 * All events come on that event loop.
 */
public final class ResponseJoiner implements ResponseSink {
    /** A longer body is passed on in parts. */
    private static final int MAX_JOINED_BYTES = 16 * 1024;

    private final EventExecutor mExecutor;
    private final ResponseSink mSink;
    private ResponseHead mHeldHead;
    private ByteBuf mHeldBytes = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a joiner.
     *
     * @param executor the event loop of the call at its gate
     * @param sink receives the events
     */
    public ResponseJoiner(final EventExecutor executor, final ResponseSink sink) {
        mExecutor = executor;
        mSink = sink;
    }

    @Override
    public void onAdmitted(final TargetLoad load) {
        mSink.onAdmitted(load);
    }

    @Override
    public void onRefused(final Refusal refusal, final TargetLoad load) {
        mSink.onRefused(refusal, load);
    }

    @Override
    public void onHead(final ResponseHead head) {
        if (mExecutor.inEventLoop()) {
            mHeldHead = head;
            mExecutor.execute(this::passOnHeld);
        } else {
            mSink.onHead(head);
        }
    }

    @Override
    public void onData(final ByteBuf bytes) {
        if (mHeldHead != null
                && !mHeldBytes.isReadable()
                && bytes.readableBytes() <= MAX_JOINED_BYTES) {
            mHeldBytes = bytes;
            return;
        }
        passOnHeld();
        mSink.onData(bytes);
    }

    /** Passes on the beginning of a response whose end has not arrived with it. */
    private void passOnHeld() {
        if (mHeldHead == null) {
            return;
        }
        final ResponseHead head = mHeldHead;
        final ByteBuf bytes = mHeldBytes;
        mHeldHead = null;
        mHeldBytes = Unpooled.EMPTY_BUFFER;
        mSink.onHead(head);
        if (bytes.isReadable()) {
            mSink.onData(bytes);
        }
    }

    @Override
    public void onEnd(final TargetLoad load) {
        if (mHeldHead == null) {
            mSink.onEnd(load);
            return;
        }
        final ResponseHead head = mHeldHead;
        mHeldHead = null;
        mSink.onResponse(head, mHeldBytes, load);
    }

    @Override
    public void onFailed(final ErrorCode code, final CallPhase phase) {
        passOnHeld();
        mSink.onFailed(code, phase);
    }

    @Override
    public void onCredit(final int bytes) {
        mSink.onCredit(bytes);
    }
}
