package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A call as one gate sees it, which a test lets refuse, admit, answer or fail. It records whether
 * its target may have received the call.
 */
final class OfferedCall implements BodySink {
    /** The length of a whole response, in bytes. */
    static final int RESPONSE_BYTES = 12;

    /** How far the gate has come with the call. */
    enum Stage {
        OFFERED,
        ADMITTED,
        RESPONDING,
        ENDED
    }

    private static final TargetLoad LOAD = TargetLoad.of(1, 0, 6, 1_000, true);

    private final int mNumber;
    private final String mHost;
    private final CallHead mHead;
    private final ResponseSink mSink;
    private Stage mStage = Stage.OFFERED;
    private boolean mCancelled;
    private boolean mReceived;
    private int mResponseBytesLeft = RESPONSE_BYTES;

    OfferedCall(final int number, final String host, final CallHead head, final ResponseSink sink) {
        mNumber = number;
        mHost = host;
        mHead = head;
        mSink = sink;
    }

    // -- state

    String callId() {
        return mHead.callId();
    }

    Stage stage() {
        return mStage;
    }

    /** Returns whether neither the gate nor the ingress has ended the call here. */
    boolean isOpen() {
        return mStage != Stage.ENDED && !mCancelled;
    }

    boolean isAdmittedAndOpen() {
        return isOpen() && mStage != Stage.OFFERED;
    }

    /** Returns whether the target has received a part of the call that makes it run. */
    boolean isReceived() {
        return mReceived;
    }

    /** Returns the text of the whole response, which names this call at each position. */
    String response() {
        return response(mNumber).repeat(RESPONSE_BYTES);
    }

    private static String response(final int number) {
        return Character.toString('A' + number % 26);
    }

    @Override
    public String toString() {
        return mNumber + "@" + mHost;
    }

    // -- events of the gate

    void admit() {
        mStage = Stage.ADMITTED;
        mReceived |= !mHead.hasBody();
        mSink.onAdmitted(LOAD);
    }

    void refuse(final ErrorCode code) {
        mStage = Stage.ENDED;
        mSink.onRefused(Refusal.of(code), LOAD);
    }

    /** Refuses the call because another host holds its idempotency key. */
    void refuseHeldKey(final String holder) {
        mStage = Stage.ENDED;
        mSink.onRefused(new Refusal(ErrorCode.CLAIM_HELD, 0, holder), LOAD);
    }

    void fail(final ErrorCode code, final CallPhase phase) {
        mStage = Stage.ENDED;
        mSink.onFailed(code, phase);
    }

    /**
     * Loses the link.
     *
     * @param reachesTarget whether the gate has passed the call on although the ingress does not
     *     know
     */
    void loseLink(final boolean reachesTarget) {
        mReceived |= reachesTarget;
        mStage = Stage.ENDED;
        mSink.onLinkLost(CallPhase.STARTED, StubGate.INCARNATION);
    }

    void respondHead(final int status, final boolean notRun) {
        mStage = Stage.RESPONDING;
        mReceived &= !notRun;
        mSink.onHead(new ResponseHead(status, List.of(), notRun, false));
    }

    void respondData(final int bytes) {
        final int length = Math.min(bytes, mResponseBytesLeft);
        mResponseBytesLeft -= length;
        final String text = response(mNumber).repeat(length);
        mSink.onData(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    boolean isResponseComplete() {
        return mResponseBytesLeft == 0;
    }

    void endResponse() {
        mStage = Stage.ENDED;
        mSink.onEnd(LOAD);
    }

    void respondWhole(final int status, final boolean notRun) {
        mStage = Stage.ENDED;
        mReceived &= !notRun;
        mResponseBytesLeft = 0;
        mSink.onResponse(
                new ResponseHead(status, List.of(), notRun, false),
                Unpooled.copiedBuffer(response(), StandardCharsets.US_ASCII),
                LOAD);
    }

    void grantCredit(final int bytes) {
        mSink.onCredit(bytes);
    }

    // -- events of the ingress

    @Override
    public void data(final ByteBuf bytes) {
        mReceived = true;
        bytes.release();
    }

    @Override
    public void end() {
        mReceived = true;
    }

    @Override
    public void cancel() {
        mCancelled = true;
    }

    @Override
    public void credit(final int bytes) {
        // The responses are shorter than the initial credit.
    }
}
