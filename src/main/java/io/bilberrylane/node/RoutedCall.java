package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.CallerPermit;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.CallPlan;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One call at the ingress, with all its attempts. Another attempt is made only if the previous one
 * certainly did not run or the call may run again; in both cases none of the body may have been
 * sent yet.
 */
final class RoutedCall implements BodySink, AttemptListener, CallEnding {
    private static final long DEADLINE_GRACE_MILLIS = 10;

    private final CallEnvironment mEnvironment;
    private final CallIdentity mIdentity;
    private final OverloadDecision mOverload;
    private final EventExecutor mExecutor;
    private final CallPlan mPlan;
    private final CallerResponse mResponse;
    private final CallAttempts mAttempts;
    private final GateOffers mOffers;
    private final CallFailover mFailover;
    private ScheduledFuture<?> mDeadline;
    private final HeldBody mHeldBody = new HeldBody();

    /** The attempt whose body waits for another call of the limit; null if there is none. */
    private GateAttempt mQuotaRenewal;

    RoutedCall(
            final CallEnvironment environment,
            final Optional<CallerPermit> permit,
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink,
            final OverloadDecision overload) {
        mEnvironment = environment;
        mIdentity = new CallIdentity(environment, route, head, permit, overload.isBoosted());
        mOverload = overload;
        mExecutor = executor;
        mPlan = CallPlan.of(head.timeoutMillis(), head.objectiveMillis(), route.attempts());
        final CallRetries retries = new CallRetries(environment, route, head.service(), mPlan);
        final CallContext call = new CallContext(environment, route, executor, mIdentity, mPlan);
        mResponse = new CallerResponse(call, overload, sink, this::onFinished);
        mAttempts = new CallAttempts(mPlan, retries, mResponse::addToTrail);
        mOffers =
                new GateOffers(
                        call,
                        new GateChooser(environment, route, head, mPlan, overload.placement()),
                        retries,
                        mAttempts,
                        mResponse,
                        this,
                        this::refuse);
        mFailover = new CallFailover(call, retries, mAttempts, mResponse, mOffers, mHeldBody, this);
    }

    // -- start and end

    void start() {
        mEnvironment.callStarted(this, mIdentity.head().service());
        mDeadline =
                mExecutor.schedule(
                        this::onDeadline,
                        mIdentity.head().timeoutMillis() + DEADLINE_GRACE_MILLIS,
                        TimeUnit.MILLISECONDS);
        if (mOverload.isRefused()) {
            refuse(Refusal.of(ErrorCode.OVERLOADED));
            return;
        }
        if (mOverload.isShortOfCapacity()) {
            mPlan.assumeShortCapacity(mIdentity.head().nested());
        }
        mOffers.offerNext(mAttempts.nextTurn(), Refusal.of(ErrorCode.NO_TARGET));
    }

    /**
     * Ends the call as not run. Fails it instead if an earlier attempt, or an earlier request with
     * the same idempotency key, may have run.
     */
    @Override
    public void refuse(final Refusal refusal) {
        // The target of the present attempt has not received the call.
        mIdentity.quota().release();
        if (mAttempts.resumeSilent()) {
            return;
        }
        final boolean earlierRequestMayHaveRun =
                mIdentity.head().isKeyed() && !mFailover.isKeyOutcomeKnown();
        if (mAttempts.mayHaveRun() || earlierRequestMayHaveRun) {
            final boolean isClaimHeld = refusal.code() == ErrorCode.CLAIM_HELD;
            fail(isClaimHeld ? ErrorCode.KEY_OUTCOME_UNKNOWN : refusal.code(), CallPhase.STARTED);
            return;
        }
        mResponse.refuse(refusal);
    }

    @Override
    public void fail(final ErrorCode code, final CallPhase phase) {
        if (!phase.isNotRun()) {
            mIdentity.quota().commit();
        }
        if (mAttempts.resumeSilent()) {
            return;
        }
        mResponse.fail(code, phase);
    }

    private void onFinished() {
        mAttempts.end();
        mHeldBody.release();
        mDeadline.cancel(false);
        mEnvironment.callEnded(this, mPlan.offers());
    }

    private void onDeadline() {
        if (mResponse.isFinished()) {
            return;
        }
        mAttempts.abandonSilent();
        if (mAttempts.openAttempt().isEmpty()) {
            refuse(Refusal.of(ErrorCode.DEADLINE_EXCEEDED));
        } else {
            fail(ErrorCode.TARGET_TIMEOUT, CallPhase.STARTED);
        }
    }

    /**
     * Ends the call because the node ends. It is refused as not run only if no target can have
     * received it: it is at none, or its body, with which a run begins, was not sent.
     */
    void endWithNode() {
        mExecutor.execute(
                () -> {
                    if (mResponse.isFinished()) {
                        return;
                    }
                    mResponse.addToTrail("node-ends");
                    mAttempts.abandonSilent();
                    final boolean isOffered = mAttempts.openAttempt().isPresent();
                    if (isOffered && !(mIdentity.head().hasBody() && !mHeldBody.isSent())) {
                        fail(ErrorCode.LEAVING, CallPhase.STARTED);
                    } else {
                        refuse(Refusal.of(ErrorCode.LEAVING));
                    }
                });
    }

    // -- events from the caller

    @Override
    public void data(final ByteBuf bytes) {
        if (mResponse.isFinished()) {
            bytes.release();
            return;
        }
        mHeldBody.add(bytes);
        sendHeldBody();
    }

    @Override
    public void end() {
        if (!mResponse.isFinished()) {
            mHeldBody.end();
            sendHeldBody();
        }
    }

    /** Sends the body to the gate that has admitted the call; another one gets nothing of it. */
    private void sendHeldBody() {
        final Optional<GateAttempt> attempt = mAttempts.attemptInService();
        if (attempt.isEmpty() || mHeldBody.isEmpty()) {
            return;
        }
        if (mIdentity.head().hasBody() && !mHeldBody.isSent()) {
            if (!mIdentity.quota().mayArrive()) {
                renewQuota(attempt.get());
                return;
            }
            mIdentity.quota().commit();
        }
        mHeldBody.sendTo(attempt.get().body());
    }

    /** Reserves another call of the limit, because the body begins after the token has expired. */
    private void renewQuota(final GateAttempt attempt) {
        if (mQuotaRenewal == attempt) {
            return;
        }
        mQuotaRenewal = attempt;
        final CallQuota quota = mIdentity.quota();
        quota.reserve(
                mExecutor,
                () -> {
                    mQuotaRenewal = null;
                    if (mAttempts.isCurrent(attempt)) {
                        sendHeldBody();
                    } else {
                        quota.release();
                    }
                },
                retryAfterMillis -> {
                    mQuotaRenewal = null;
                    if (mAttempts.isCurrent(attempt) && attempt.abandon()) {
                        mResponse.addToTrail("quota");
                        refuse(new Refusal(ErrorCode.QUOTA_EXCEEDED, retryAfterMillis, ""));
                    }
                });
    }

    @Override
    public void cancel() {
        if (mAttempts.openAttempt().isPresent()) {
            mIdentity.quota().commit();
        }
        mResponse.endWithoutCaller();
    }

    @Override
    public void credit(final int bytes) {
        mAttempts.openAttempt().ifPresent(attempt -> attempt.body().credit(bytes));
    }

    // -- events from the target

    @Override
    public void onSilence(final GateAttempt attempt) {
        mFailover.onSilence(attempt);
    }

    @Override
    public void onAdmitted(final GateAttempt attempt, final TargetLoad load) {
        mOverload.recordAdmitted();
        if (attempt.isOpen()) {
            mAttempts.keepOnly(attempt);
            if (!mIdentity.head().hasBody()) {
                mIdentity.quota().commit();
            }
            sendHeldBody();
            mResponse.onAdmitted(load);
        }
    }

    @Override
    public void onRefused(final GateAttempt attempt, final Refusal refusal) {
        if (!mAttempts.endSilent(attempt, CallPhase.NEVER)) {
            mFailover.onRefused(attempt, refusal);
        }
    }

    @Override
    public void onHead(final GateAttempt attempt, final ResponseHead head) {
        mAttempts.keepOnly(attempt);
        if (mFailover.isRetryable(head, attempt.host())) {
            attempt.discardResponse();
            mAttempts.recordMayHaveRun(!head.notRun());
        } else {
            mResponse.forwardHead(head);
        }
    }

    @Override
    public void onData(final GateAttempt attempt, final ByteBuf bytes) {
        if (mAttempts.isCurrent(attempt)) {
            mResponse.forwardData(bytes);
        } else {
            bytes.release();
        }
    }

    @Override
    public void onEnd(final GateAttempt attempt, final TargetLoad load) {
        if (mAttempts.endSilent(attempt, CallPhase.STARTED)) {
            return;
        }
        if (attempt.markRunRecorded()) {
            mPlan.recordRun(attempt.host());
        }
        if (attempt.isDiscardingResponse()) {
            mResponse.addToTrail("answer-dropped");
            mOffers.offerNext(mAttempts.nextTurn(), Refusal.of(ErrorCode.TARGET_REFUSED));
        } else {
            mResponse.end(load);
        }
    }

    @Override
    public void onResponse(
            final GateAttempt attempt,
            final ResponseHead head,
            final ByteBuf bytes,
            final TargetLoad load) {
        mAttempts.keepOnly(attempt);
        final boolean isDropped = mFailover.isRetryable(head, attempt.host());
        if (attempt.markRunRecorded()) {
            mPlan.recordRun(attempt.host());
        }
        if (isDropped) {
            bytes.release();
            mAttempts.recordMayHaveRun(!head.notRun());
            mResponse.addToTrail("answer-dropped");
            mOffers.offerNext(mAttempts.nextTurn(), Refusal.of(ErrorCode.TARGET_REFUSED));
        } else {
            mResponse.end(head, bytes, load);
        }
    }

    @Override
    public void onFailed(final GateAttempt attempt, final ErrorCode code, final CallPhase phase) {
        if (!mAttempts.endSilent(attempt, phase)) {
            mFailover.onFailed(attempt, code, phase);
        }
    }

    @Override
    public void onCredit(final GateAttempt attempt, final int bytes) {
        if (mAttempts.isCurrent(attempt)) {
            mResponse.credit(bytes);
        }
    }
}
