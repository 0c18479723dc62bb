package io.bilberrylane.node;

import io.bilberrylane.peer.BodySink;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The part of a request body that has arrived before a gate has admitted the call. Its length is
 * bounded by the credit that the caller's connection has without a gate. Not thread-safe.
 */
final class HeldBody {
    private final Deque<ByteBuf> mParts = new ArrayDeque<>();
    private boolean mEnded;
    private boolean mSent;

    /** Holds a part, which is released by {@link #release} or by the gate that receives it. */
    void add(final ByteBuf part) {
        mParts.add(part);
    }

    /** Records that the body is complete. */
    void end() {
        mEnded = true;
    }

    boolean isEmpty() {
        return mParts.isEmpty() && !mEnded;
    }

    /** Returns whether a part or the end of the body was sent to a gate. */
    boolean isSent() {
        return mSent;
    }

    /** Sends everything that is held to the gate that has admitted the call. */
    void sendTo(final BodySink gate) {
        mSent = true;
        while (!mParts.isEmpty()) {
            gate.data(mParts.pollFirst());
        }
        if (mEnded) {
            mEnded = false;
            gate.end();
        }
    }

    void release() {
        mParts.forEach(ByteBuf::release);
        mParts.clear();
    }
}
