package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import java.util.function.IntConsumer;

/** Sends the events of one call over its inbound link. */
final class ServerStream implements ResponseSink {
    /** The maximum length of a body part in one message, in bytes. */
    static final int MAX_CHUNK_BYTES = 256 * 1024;

    private final Channel mChannel;
    private final int mStreamId;
    private final IntConsumer mOnFinished;
    private BodySink mBody;
    private long mReceiveCreditBytes = CallOpener.INITIAL_CREDIT_BYTES;

    ServerStream(final Channel channel, final int streamId, final IntConsumer onFinished) {
        mChannel = channel;
        mStreamId = streamId;
        mOnFinished = onFinished;
    }

    void attach(final BodySink body) {
        mBody = body;
    }

    BodySink body() {
        return mBody;
    }

    void onPeerData(final ByteBuf bytes) {
        mReceiveCreditBytes -= bytes.readableBytes();
        if (mReceiveCreditBytes < -MAX_CHUNK_BYTES) {
            bytes.release();
            throw FieldReader.protocolViolation(
                    "stream " + mStreamId + " exceeds its credit", null);
        }
        mBody.data(bytes);
    }

    // -- events

    @Override
    public void onAdmitted(final TargetLoad load) {
        mChannel.writeAndFlush(new PeerMessage.Admit(mStreamId, load));
    }

    @Override
    public void onRefused(final Refusal refusal, final TargetLoad load) {
        finish(new PeerMessage.Refuse(mStreamId, refusal, load));
    }

    @Override
    public void onHead(final ResponseHead head) {
        mChannel.writeAndFlush(new PeerMessage.Head(mStreamId, head));
    }

    @Override
    public void onData(final ByteBuf bytes) {
        final byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        mChannel.writeAndFlush(new PeerMessage.Data(mStreamId, copy));
    }

    @Override
    public void onEnd(final TargetLoad load) {
        finish(new PeerMessage.End(mStreamId, load));
    }

    @Override
    public void onResponse(final ResponseHead head, final ByteBuf bytes, final TargetLoad load) {
        final byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        finish(new PeerMessage.Response(mStreamId, head, copy, load));
    }

    @Override
    public void onFailed(final ErrorCode code, final CallPhase phase) {
        finish(new PeerMessage.Fail(mStreamId, code, phase));
    }

    @Override
    public void onCredit(final int bytes) {
        mChannel.eventLoop().execute(() -> mReceiveCreditBytes += bytes);
        mChannel.writeAndFlush(new PeerMessage.Credit(mStreamId, bytes));
    }

    private void finish(final PeerMessage last) {
        mChannel.writeAndFlush(last);
        if (mChannel.eventLoop().inEventLoop()) {
            mOnFinished.accept(mStreamId);
        } else {
            mChannel.eventLoop().execute(() -> mOnFinished.accept(mStreamId));
        }
    }
}
