package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** What the caller of one call gets. */
final class RecordedResponse implements ResponseSink {
    /** How the call has ended for its caller. */
    enum End {
        PENDING,
        ANSWERED,
        REFUSED,
        FAILED
    }

    private final StringBuilder mBody = new StringBuilder();
    private int mHeads;
    private int mEnds;
    private int mEventsAfterEnd;
    private End mEnd = End.PENDING;

    String body() {
        return mBody.toString();
    }

    End end() {
        return mEnd;
    }

    int heads() {
        return mHeads;
    }

    int ends() {
        return mEnds;
    }

    int eventsAfterEnd() {
        return mEventsAfterEnd;
    }

    private void countEvent() {
        mEventsAfterEnd += mEnd == End.PENDING ? 0 : 1;
    }

    private void end(final End end) {
        countEvent();
        mEnd = end;
        mEnds++;
    }

    @Override
    public void onAdmitted(final TargetLoad load) {
        countEvent();
    }

    @Override
    public void onRefused(final Refusal refusal, final TargetLoad load) {
        end(End.REFUSED);
    }

    @Override
    public void onHead(final ResponseHead head) {
        countEvent();
        mHeads++;
    }

    @Override
    public void onData(final ByteBuf bytes) {
        countEvent();
        mBody.append(bytes.toString(StandardCharsets.US_ASCII));
        bytes.release();
    }

    @Override
    public void onEnd(final TargetLoad load) {
        end(End.ANSWERED);
    }

    @Override
    public void onFailed(final ErrorCode code, final CallPhase phase) {
        end(End.FAILED);
    }

    @Override
    public void onCredit(final int bytes) {
        countEvent();
    }
}
