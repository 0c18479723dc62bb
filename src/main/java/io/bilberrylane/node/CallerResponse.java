package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.CallPlan;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/**
 * The response of one call to its caller, which ends the call once, and the trail of the decisions
 * on the call. Confined to the event loop of the call.
 */
final class CallerResponse {
    /** A refused caller is told to retry after at least its timeout divided by this. */
    private static final long RETRY_AFTER_DIVISOR = 10;

    private final CallEnvironment mEnvironment;
    private final Route mRoute;
    private final CallIdentity mIdentity;
    private final CallPlan mPlan;
    private final OverloadDecision mOverload;
    private final ResponseSink mSink;
    private final Runnable mOnFinished;
    private final long mStartNanos;
    private final CallTrail mTrail = new CallTrail();
    private int mForwardedStatus;
    private boolean mFinished;

    /**
     * Creates the response of a call that arrives now.
     *
     * @param sink receives the response
     * @param onFinished runs when the call has ended, before its caller learns of it
     */
    CallerResponse(
            final CallContext call,
            final OverloadDecision overload,
            final ResponseSink sink,
            final Runnable onFinished) {
        mEnvironment = call.environment();
        mRoute = call.route();
        mIdentity = call.identity();
        mPlan = call.plan();
        mStartNanos = mEnvironment.nanoTime();
        mOverload = overload;
        mSink = sink;
        mOnFinished = onFinished;
    }

    // -- state

    boolean isFinished() {
        return mFinished;
    }

    boolean isHeadForwarded() {
        return mForwardedStatus != 0;
    }

    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mEnvironment.nanoTime() - mStartNanos);
    }

    void addToTrail(final String step) {
        mTrail.add(step, elapsedMillis());
    }

    // -- progress

    void onAdmitted(final TargetLoad load) {
        mSink.onAdmitted(load);
    }

    void forwardHead(final ResponseHead head) {
        mForwardedStatus = head.status();
        mSink.onHead(head);
    }

    void forwardData(final ByteBuf bytes) {
        mSink.onData(bytes);
    }

    void credit(final int bytes) {
        mSink.onCredit(bytes);
    }

    // -- end

    /** Ends the call with the complete response of a target. */
    void end(final TargetLoad load) {
        if (finish("answered")) {
            mSink.onEnd(load);
        }
    }

    /** Ends the call with the complete response of a target, of which nothing was passed on yet. */
    void end(final ResponseHead head, final ByteBuf bytes, final TargetLoad load) {
        if (!mFinished) {
            mForwardedStatus = head.status();
        }
        if (finish("answered")) {
            mSink.onResponse(head, bytes, load);
        } else {
            bytes.release();
        }
    }

    /** Ends the call as not run. */
    void refuse(final Refusal refusal) {
        if (!mFinished) {
            mOverload.recordRefused(refusal.code(), mPlan.offers());
        }
        if (finish("refused:" + refusal.code().wireName())) {
            final long retryAfter =
                    Math.max(
                            refusal.retryAfterMillis(),
                            mOverload.retryAfterMillis(
                                    refusal.code(),
                                    mIdentity.head().timeoutMillis() / RETRY_AFTER_DIVISOR));
            mSink.onRefused(
                    new Refusal(refusal.code(), retryAfter, refusal.holder()), TargetLoad.ABSENT);
        }
    }

    /** Ends the call without a complete response. */
    void fail(final ErrorCode code, final CallPhase phase) {
        if (finish("failed:" + code.wireName())) {
            mSink.onFailed(code, phase);
        }
    }

    /** Ends the call because its caller has left; returns false if it has ended before. */
    boolean endWithoutCaller() {
        return finish("caller-left");
    }

    private boolean finish(final String outcome) {
        if (mFinished) {
            return false;
        }
        mFinished = true;
        mIdentity.quota().release();
        mTrail.write(mIdentity.head(), mRoute, mPlan, outcome, mForwardedStatus, elapsedMillis());
        mOverload.recordEnd();
        mOnFinished.run();
        return true;
    }
}
