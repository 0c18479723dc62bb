package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** The caller's side of one call on an outbound link. */
final class ClientStream implements BodySink {
    private final PeerLink mLink;
    private final AnswerSink mSink;
    private int mStreamId;

    ClientStream(final PeerLink link, final AnswerSink sink) {
        mLink = link;
        mSink = sink;
    }

    void register(final int streamId) {
        mStreamId = streamId;
    }

    int id() {
        return mStreamId;
    }

    AnswerSink sink() {
        return mSink;
    }

    /** Ends the call with its link; only a call that never left this process was not run. */
    void lost(final boolean wasSent) {
        mSink.onFailed(ErrorCode.LINK_LOST, wasSent ? CallPhase.STARTED : CallPhase.NEVER);
    }

    // -- body

    @Override
    public void data(final ByteBuf bytes) {
        final byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        mLink.onLoop(() -> mLink.send(new PeerMessage.Data(mStreamId, copy)));
    }

    @Override
    public void end() {
        mLink.onLoop(
                () ->
                        mLink.send(
                                new PeerMessage.End(
                                        mStreamId, io.bilberrylane.policy.TargetLoad.ABSENT)));
    }

    @Override
    public void cancel() {
        mLink.onLoop(
                () -> {
                    mLink.forget(mStreamId);
                    mLink.send(new PeerMessage.Cancel(mStreamId));
                });
    }

    @Override
    public void credit(final int bytes) {
        mLink.onLoop(() -> mLink.send(new PeerMessage.Credit(mStreamId, bytes)));
    }
}
