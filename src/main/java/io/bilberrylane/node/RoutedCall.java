package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.AnswerHead;
import io.bilberrylane.peer.AnswerSink;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One call at the ingress with all its attempts. A second attempt is made only when the first was
 * certainly not run, or may run again; an unread body is a condition for both.
 */
final class RoutedCall implements BodySink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_OVERLOAD_ATTEMPTS = 2;
    private static final long DEADLINE_GRACE_MILLIS = 250;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Router mRouter;
    private final Route mRoute;
    private final CallHead mHead;
    private final EventExecutor mExecutor;
    private final AnswerSink mSink;
    private final long mDeadlineNanos;
    private final Set<String> mTried = new HashSet<>();
    private Attempt mAttempt;
    private ScheduledFuture<?> mDeadline;
    private int mAttempts;
    private int mOverloads;
    private boolean mBodySent;
    private boolean mHeadSeen;
    private boolean mMayHaveRun;
    private boolean mKeyCertain;
    private boolean mOver;

    RoutedCall(
            final Router router,
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final AnswerSink sink) {
        mRouter = router;
        mRoute = route;
        mHead = head;
        mExecutor = executor;
        mSink = sink;
        mDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
    }

    // -- attempts

    void start() {
        mRouter.callStarted();
        mDeadline =
                mExecutor.schedule(
                        this::onDeadline,
                        mHead.timeoutMillis() + DEADLINE_GRACE_MILLIS,
                        TimeUnit.MILLISECONDS);
        attempt(Refusal.of(ErrorCode.NO_TARGET));
    }

    private void attempt(final Refusal otherwise) {
        final long remainingMillis =
                TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - System.nanoTime());
        if (remainingMillis <= 0) {
            refuse(Refusal.of(ErrorCode.DEADLINE_EXCEEDED));
            return;
        }
        final Optional<TargetRef> target =
                otherwise.holder().isEmpty()
                        ? mRouter.choose(mRoute, mHead.service(), mTried)
                        : mRouter.holder(otherwise.holder());
        if (target.isEmpty()) {
            refuse(otherwise);
            return;
        }
        mTried.add(target.get().candidate().host());
        mAttempts++;
        final String callId = mRouter.nextCallId();
        final Attempt next = new Attempt(target.get(), callId);
        mAttempt = next;
        next.mBody =
                mRouter.opener(target.get())
                        .open(
                                mHead.forAttempt(
                                        callId,
                                        remainingMillis,
                                        mAttempts,
                                        mHead.timeoutMillis() - remainingMillis),
                                next);
    }

    /** Ends the call without a run; an earlier attempt that may have run makes that untrue. */
    private void refuse(final Refusal refusal) {
        final boolean earlierSendingMayHaveRun = mHead.isKeyed() && !mKeyCertain;
        if (mMayHaveRun || earlierSendingMayHaveRun) {
            final boolean held = refusal.code() == ErrorCode.CLAIM_HELD;
            fail(held ? ErrorCode.KEY_OUTCOME_UNKNOWN : refusal.code(), CallPhase.STARTED);
            return;
        }
        if (over()) {
            final long retryAfter = Math.max(refusal.retryAfterMillis(), RETRY_AFTER_MILLIS);
            mSink.onRefused(
                    new Refusal(refusal.code(), retryAfter, refusal.holder()), TargetLoad.ABSENT);
        }
    }

    private void fail(final ErrorCode code, final CallPhase phase) {
        if (over()) {
            mSink.onFailed(code, phase);
        }
    }

    private boolean over() {
        if (mOver) {
            return false;
        }
        mOver = true;
        mDeadline.cancel(false);
        mRouter.callEnded();
        return true;
    }

    private void onDeadline() {
        if (mOver) {
            return;
        }
        final Attempt attempt = mAttempt;
        attempt.close();
        attempt.mBody.cancel();
        fail(ErrorCode.TARGET_TIMEOUT, CallPhase.STARTED);
    }

    // -- the caller's side

    @Override
    public void data(final ByteBuf bytes) {
        if (mOver) {
            bytes.release();
            return;
        }
        mBodySent = true;
        mAttempt.mBody.data(bytes);
    }

    @Override
    public void end() {
        if (!mOver) {
            mAttempt.mBody.end();
        }
    }

    @Override
    public void cancel() {
        if (over() && mAttempt != null) {
            mAttempt.close();
            mAttempt.mBody.cancel();
        }
    }

    @Override
    public void credit(final int bytes) {
        if (!mOver) {
            mAttempt.mBody.credit(bytes);
        }
    }

    // -- the target's side

    /** Receives the events of one attempt; events after its end are dropped. */
    private final class Attempt implements AnswerSink {
        private final TargetRef mTarget;
        private final String mCallId;
        private BodySink mBody;
        private boolean mClosed;
        private boolean mSwallowing;
        private int mDeferred;

        private Attempt(final TargetRef target, final String callId) {
            mTarget = target;
            mCallId = callId;
        }

        private boolean close() {
            if (mClosed) {
                return false;
            }
            mClosed = true;
            mRouter.done(mTarget);
            return true;
        }

        /** Runs an event after those before it, and never before {@code open} has returned. */
        private void inOrder(final Runnable action) {
            if (!mExecutor.inEventLoop()) {
                mExecutor.execute(action);
            } else if (mBody == null || mDeferred > 0) {
                mDeferred++;
                mExecutor.execute(
                        () -> {
                            mDeferred--;
                            action.run();
                        });
            } else {
                action.run();
            }
        }

        @Override
        public void onAdmitted(final TargetLoad load) {
            mRouter.told(mTarget, load);
            inOrder(
                    () -> {
                        if (!mClosed) {
                            mSink.onAdmitted(load);
                        }
                    });
        }

        @Override
        public void onRefused(final Refusal refusal, final TargetLoad load) {
            mRouter.told(mTarget, load);
            inOrder(
                    () -> {
                        if (close()) {
                            afterRefusal(refusal);
                        }
                    });
        }

        @Override
        public void onHead(final AnswerHead head) {
            inOrder(
                    () -> {
                        if (mClosed) {
                            return;
                        }
                        mSwallowing = isRetryable(head);
                        if (!mSwallowing) {
                            mHeadSeen = true;
                            mSink.onHead(head);
                        }
                    });
        }

        @Override
        public void onData(final ByteBuf bytes) {
            inOrder(
                    () -> {
                        if (mSwallowing && !mClosed) {
                            mBody.credit(bytes.readableBytes());
                        }
                        if (mClosed || mSwallowing) {
                            bytes.release();
                        } else {
                            mSink.onData(bytes);
                        }
                    });
        }

        @Override
        public void onEnd(final TargetLoad load) {
            mRouter.told(mTarget, load);
            inOrder(
                    () -> {
                        if (!close()) {
                            return;
                        }
                        if (mSwallowing) {
                            attempt(Refusal.of(ErrorCode.TARGET_REFUSED));
                        } else if (over()) {
                            mSink.onEnd(load);
                        }
                    });
        }

        @Override
        public void onFailed(final ErrorCode code, final CallPhase phase) {
            inOrder(
                    () -> {
                        if (close()) {
                            afterFailure(this, code, phase);
                        }
                    });
        }

        @Override
        public void onCredit(final int bytes) {
            inOrder(
                    () -> {
                        if (!mClosed) {
                            mSink.onCredit(bytes);
                        }
                    });
        }
    }

    // -- decisions

    /** Returns whether an answer says that its target did not run the call, and another may. */
    private boolean isRetryable(final AnswerHead head) {
        return head.notRun()
                && !mOver
                && !mBodySent
                && !mHead.isKeyed()
                && mAttempts < mRoute.attempts();
    }

    private void afterRefusal(final Refusal refusal) {
        if (mOver) {
            return;
        }
        if (refusal.code() == ErrorCode.OVERLOADED || refusal.code() == ErrorCode.QUEUE_TIMEOUT) {
            mOverloads++;
        }
        mKeyCertain =
                switch (refusal.code()) {
                    case CLAIM_UNAVAILABLE, CLAIM_HELD, CANCELLED, KEY_IN_PROGRESS -> false;
                    default -> true;
                };
        final boolean mayHelp =
                switch (refusal.code()) {
                    case CLAIM_HELD -> !mTried.contains(refusal.holder());
                    case LEAVING, NO_TARGET, TARGET_UNREACHABLE, CANCELLED -> true;
                    case OVERLOADED, QUEUE_TIMEOUT -> mOverloads < MAX_OVERLOAD_ATTEMPTS;
                    default -> false;
                };
        if (mayHelp && mAttempts < mRoute.attempts() && !mBodySent) {
            attempt(refusal);
        } else {
            refuse(refusal);
        }
    }

    private void afterFailure(final Attempt attempt, final ErrorCode code, final CallPhase phase) {
        if (mOver) {
            return;
        }
        if (code == ErrorCode.LINK_LOST) {
            mRouter.told(attempt.mTarget, TargetLoad.ABSENT);
        }
        final boolean isResolvable = code == ErrorCode.LINK_LOST && !mHead.idempotent();
        mMayHaveRun |= !phase.isNotRun() && !isResolvable;
        final boolean unheard = !mBodySent && !mHeadSeen && mAttempts < mRoute.attempts();
        if (unheard && (mHead.idempotent() || phase.isNotRun())) {
            attempt(Refusal.of(code));
        } else if (isResolvable && !phase.isNotRun() && !mHeadSeen) {
            resolveDoubt(attempt);
        } else {
            fail(code, phase);
        }
    }

    private void resolveDoubt(final Attempt attempt) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "link lost during call %s; asking its gate", attempt.mCallId);
        mRouter.settleOutcome(
                attempt.mTarget,
                attempt.mCallId,
                phase -> mExecutor.execute(() -> onOutcome(phase.orElse(CallPhase.STARTED))));
    }

    private void onOutcome(final CallPhase phase) {
        if (mOver) {
            return;
        }
        mMayHaveRun |= !phase.isNotRun();
        if (phase.isNotRun() && !mBodySent && mAttempts < mRoute.attempts()) {
            attempt(Refusal.of(ErrorCode.LINK_LOST));
        } else {
            fail(ErrorCode.LINK_LOST, phase);
        }
    }
}
