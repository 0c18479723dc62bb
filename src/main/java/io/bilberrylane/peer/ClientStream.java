package io.bilberrylane.peer;

import io.bilberrylane.outcome.CallPhase;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** The caller's side of one call on an outbound link. */
final class ClientStream implements BodySink {
    private final PeerLink mLink;
    private final ResponseSink mSink;
    private int mStreamId;

    ClientStream(final PeerLink link, final ResponseSink sink) {
        mLink = link;
        mSink = sink;
    }

    void assignId(final int streamId) {
        mStreamId = streamId;
    }

    int id() {
        return mStreamId;
    }

    ResponseSink sink() {
        return mSink;
    }

    /**
     * Fails the call because its link was lost. Only a call that was never sent is certain not to
     * have run.
     */
    void onLinkLost(final boolean wasSent, final long gateIncarnation) {
        mSink.onLinkLost(wasSent ? CallPhase.STARTED : CallPhase.NEVER, gateIncarnation);
    }

    // -- body

    @Override
    public void data(final ByteBuf bytes) {
        final byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        mLink.runOnEventLoop(() -> mLink.send(new PeerMessage.Data(mStreamId, copy)));
    }

    @Override
    public void end() {
        mLink.runOnEventLoop(
                () ->
                        mLink.send(
                                new PeerMessage.End(
                                        mStreamId, io.bilberrylane.policy.TargetLoad.ABSENT)));
    }

    @Override
    public void cancel() {
        mLink.runOnEventLoop(
                () -> {
                    mLink.removeStream(mStreamId);
                    mLink.send(new PeerMessage.Cancel(mStreamId));
                });
    }

    @Override
    public void credit(final int bytes) {
        mLink.runOnEventLoop(() -> mLink.send(new PeerMessage.Credit(mStreamId, bytes)));
    }
}
