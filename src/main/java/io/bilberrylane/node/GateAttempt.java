package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One offer of a call to a gate. It passes on the events of the gate in order, on the event loop of
 * the call, and ignores events after its end.
 */
final class GateAttempt implements ResponseSink {
    private final CallEnvironment mEnvironment;
    private final EventExecutor mExecutor;
    private final TargetRef mTarget;
    private final CallHead mHead;
    private final AttemptListener mListener;
    private BodySink mBody;
    private boolean mClosed;
    private boolean mAdmitted;
    private ScheduledFuture<?> mSilenceTimer;
    private long mOfferedNanos;
    private boolean mMayQueue;
    private boolean mDiscardingResponse;
    private int mDeferredEvents;
    private boolean mRunRecorded;
    private long mGateIncarnation = NodeIdentity.UNKNOWN_INCARNATION;

    /**
     * Creates an attempt.
     *
     * @param head the head of the call as it is offered to the gate
     * @param listener receives the events of the gate
     */
    GateAttempt(
            final CallEnvironment environment,
            final EventExecutor executor,
            final TargetRef target,
            final CallHead head,
            final AttemptListener listener) {
        mEnvironment = environment;
        mExecutor = executor;
        mTarget = target;
        mHead = head;
        mListener = listener;
    }

    // -- state

    TargetRef target() {
        return mTarget;
    }

    String host() {
        return mTarget.candidate().host();
    }

    String callId() {
        return mHead.callId();
    }

    /** Returns the sink for the body of the call. */
    BodySink body() {
        return mBody;
    }

    /** Returns the incarnation of the gate's process; known once the link was lost. */
    long gateIncarnation() {
        return mGateIncarnation;
    }

    boolean isOpen() {
        return !mClosed;
    }

    /** Returns whether the attempt is open and the gate has admitted the call. */
    boolean isInService() {
        return mAdmitted && !mClosed;
    }

    boolean isDiscardingResponse() {
        return mDiscardingResponse;
    }

    /** Records that the gate has sent a response, which implies that it has admitted the call. */
    void markAdmitted() {
        mAdmitted = true;
    }

    /** Discards the response, because the call is sent to another target. */
    void discardResponse() {
        mDiscardingResponse = true;
    }

    /** Marks the run as recorded; returns false if it was before. */
    boolean markRunRecorded() {
        final boolean isFirst = !mRunRecorded;
        mRunRecorded = true;
        return isFirst;
    }

    // -- start and end

    /** Offers the call to the gate. */
    void open(final long queueTimeoutMillis) {
        mOfferedNanos = mEnvironment.nanoTime();
        mMayQueue = queueTimeoutMillis > 0;
        mSilenceTimer =
                mExecutor.schedule(
                        this::onSilence,
                        queueTimeoutMillis + mEnvironment.silenceTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        mBody = mEnvironment.opener(mTarget).open(mHead, this);
    }

    /** Withdraws the call from the gate; returns false if the attempt has ended. */
    boolean abandon() {
        final boolean wasOpen = close();
        if (wasOpen) {
            mBody.cancel();
        }
        return wasOpen;
    }

    private boolean close() {
        if (mClosed) {
            return false;
        }
        mClosed = true;
        mSilenceTimer.cancel(false);
        mEnvironment.recordCompletion(mTarget);
        return true;
    }

    // -- events

    /** Runs events in order, and never before {@code open} has returned. */
    private void runInOrder(final Runnable action) {
        if (!mExecutor.inEventLoop()) {
            mExecutor.execute(action);
        } else if (mBody == null || mDeferredEvents > 0) {
            mDeferredEvents++;
            mExecutor.execute(
                    () -> {
                        mDeferredEvents--;
                        action.run();
                    });
        } else {
            action.run();
        }
    }

    /** Runs an event in order unless the attempt has ended before it. */
    private void runIfOpen(final Runnable action) {
        runInOrder(
                () -> {
                    if (!mClosed) {
                        action.run();
                    }
                });
    }

    /** Ends the attempt, then runs an event, unless the attempt has ended before it. */
    private void runAtEnd(final Runnable action) {
        runInOrder(
                () -> {
                    if (close()) {
                        action.run();
                    }
                });
    }

    private void recordLoad(final TargetLoad load) {
        mEnvironment.recordLoad(mTarget, mHead.service(), mHead.route(), load);
    }

    /** Records how long the gate took to reply, unless the call may have queued there. */
    private void recordReply() {
        if (!mMayQueue) {
            final long elapsedNanos = mEnvironment.nanoTime() - mOfferedNanos;
            mEnvironment.recordReply(TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
        }
    }

    private void onSilence() {
        if (!mClosed && !mAdmitted && mBody != null) {
            mEnvironment.recordSilence();
            mListener.onSilence(this);
        }
    }

    @Override
    public void onAdmitted(final TargetLoad load) {
        recordReply();
        recordLoad(load);
        runInOrder(
                () -> {
                    mAdmitted = true;
                    mListener.onAdmitted(this, load);
                });
    }

    @Override
    public void onRefused(final Refusal refusal, final TargetLoad load) {
        recordReply();
        recordLoad(load);
        runAtEnd(() -> mListener.onRefused(this, refusal));
    }

    @Override
    public void onHead(final ResponseHead head) {
        runIfOpen(() -> mListener.onHead(this, head));
    }

    @Override
    public void onData(final ByteBuf bytes) {
        runInOrder(
                () -> {
                    if (mDiscardingResponse && !mClosed) {
                        mBody.credit(bytes.readableBytes());
                    }
                    if (mClosed || mDiscardingResponse) {
                        bytes.release();
                    } else {
                        mListener.onData(this, bytes);
                    }
                });
    }

    @Override
    public void onEnd(final TargetLoad load) {
        recordLoad(load);
        runAtEnd(() -> mListener.onEnd(this, load));
    }

    @Override
    public void onResponse(final ResponseHead head, final ByteBuf bytes, final TargetLoad load) {
        recordLoad(load);
        runInOrder(
                () -> {
                    if (close()) {
                        mListener.onResponse(this, head, bytes, load);
                    } else {
                        bytes.release();
                    }
                });
    }

    @Override
    public void onFailed(final ErrorCode code, final CallPhase phase) {
        runAtEnd(() -> mListener.onFailed(this, code, phase));
    }

    @Override
    public void onLinkLost(final CallPhase phase, final long gateIncarnation) {
        runInOrder(() -> mGateIncarnation = gateIncarnation);
        onFailed(ErrorCode.LINK_LOST, phase);
    }

    @Override
    public void onCredit(final int bytes) {
        runIfOpen(() -> mListener.onCredit(this, bytes));
    }
}
