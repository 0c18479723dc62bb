package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.policy.CallPlan;
import java.util.concurrent.TimeUnit;

/**
 * Decides what becomes of a call whose attempt was refused, has failed or is at a silent gate:
 * another gate, a query of the outcome, or the end. Confined to the event loop of the call.
 */
final class CallFailover {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int SERVER_ERROR = 500;

    /**
     * A response is discarded for a retry only if more than the timeout divided by this is left.
     */
    private static final long MIN_RETRY_TIME_DIVISOR = 5;

    private final CallContext mCall;
    private final CallIdentity mIdentity;
    private final CallPlan mPlan;
    private final CallRetries mRetries;
    private final CallAttempts mAttempts;
    private final CallerResponse mResponse;
    private final GateOffers mOffers;
    private final HeldBody mBody;
    private final CallEnding mEnding;
    private boolean mKeyOutcomeKnown;

    CallFailover(
            final CallContext call,
            final CallRetries retries,
            final CallAttempts attempts,
            final CallerResponse response,
            final GateOffers offers,
            final HeldBody body,
            final CallEnding ending) {
        mCall = call;
        mIdentity = call.identity();
        mPlan = call.plan();
        mRetries = retries;
        mAttempts = attempts;
        mResponse = response;
        mOffers = offers;
        mBody = body;
        mEnding = ending;
    }

    private CallHead head() {
        return mIdentity.head();
    }

    /** Returns whether a gate has excluded that an earlier request with the same key has run. */
    boolean isKeyOutcomeKnown() {
        return mKeyOutcomeKnown;
    }

    /** Offers the call to another gate, too, if the retry rules allow it; otherwise waits on. */
    void onSilence(final GateAttempt attempt) {
        if (mResponse.isFinished()) {
            return;
        }
        mResponse.addToTrail("silent");
        final boolean mayHaveRun = !head().hasBody();
        mCall.environment().markSilent(attempt.target(), head().service(), mCall.route().id());
        if (mayHaveRun && !tryFailover(attempt.host())) {
            return;
        }
        final OfferTurn turn;
        if (mayHaveRun) {
            turn = mAttempts.keepSilent(attempt);
            mIdentity.quota().commit();
        } else {
            attempt.abandon();
            mPlan.recordAbsence(attempt.host());
            turn = mAttempts.nextTurn();
        }
        mOffers.offerNext(turn, Refusal.of(ErrorCode.LINK_LOST));
    }

    /**
     * Returns whether a call at a silent gate is offered to another one, too; if so, takes the
     * retry from the budget.
     */
    private boolean tryFailover(final String host) {
        final boolean granted = head().idempotent() && mRetries.tryAcquire(host);
        if (!granted) {
            mResponse.addToTrail("kept");
        }
        return granted;
    }

    /**
     * Returns whether a response is discarded and the call sent to another target; if so, takes the
     * retry from the budget. This applies if the target reports that it did not run the call, or if
     * it failed a call that may run again, unless the calls of repeated runs there have spent the
     * budget of a service that the target calls.
     */
    boolean isRetryable(final ResponseHead head, final String host) {
        final boolean failed =
                head.status() >= SERVER_ERROR && head().idempotent() && !head.repeatBudgetSpent();
        if (mResponse.isFinished()
                || mBody.isSent()
                || head().isKeyed()
                || !(head.notRun() || failed)) {
            return false;
        }
        final long remainingMillis = head().timeoutMillis() - mResponse.elapsedMillis();
        final boolean hasTime = remainingMillis > head().timeoutMillis() / MIN_RETRY_TIME_DIVISOR;
        if (!hasTime || !mRetries.tryAcquire(host)) {
            return false;
        }
        mRetries.keepGrant();
        return true;
    }

    /** Offers the call to another gate after a refusal, or refuses it. */
    void onRefused(final GateAttempt attempt, final Refusal refusal) {
        if (mResponse.isFinished()) {
            return;
        }
        final String host = attempt.host();
        if (isTargetAbsent(refusal.code())) {
            mPlan.recordAbsence(host);
        } else {
            mPlan.recordRefusal(host, refusal.code() == ErrorCode.OVERLOADED);
        }
        mResponse.addToTrail(refusal.code().wireName());
        mKeyOutcomeKnown =
                switch (refusal.code()) {
                    case CLAIM_UNAVAILABLE, CLAIM_HELD, CANCELLED, KEY_IN_PROGRESS -> false;
                    default -> true;
                };
        final boolean canRetryHelp =
                switch (refusal.code()) {
                    case CLAIM_HELD -> !refusal.holder().equals(host);
                    case LEAVING,
                            NO_TARGET,
                            TARGET_UNREACHABLE,
                            CANCELLED,
                            OVERLOADED,
                            QUEUE_TIMEOUT ->
                            true;
                    default -> false;
                };
        if (canRetryHelp && !mBody.isSent()) {
            mOffers.offerNext(mAttempts.nextTurn(), refusal);
        } else {
            mEnding.refuse(refusal);
        }
    }

    private static boolean isTargetAbsent(final ErrorCode code) {
        return switch (code) {
            case LEAVING, NO_TARGET, TARGET_UNREACHABLE -> true;
            default -> false;
        };
    }

    /** Offers the call to another gate after a failed attempt, or ends it. */
    void onFailed(final GateAttempt attempt, final ErrorCode code, final CallPhase reportedPhase) {
        if (mResponse.isFinished()) {
            return;
        }
        final boolean neverStarted =
                code == ErrorCode.LINK_LOST && head().hasBody() && !mBody.isSent();
        final CallPhase phase = neverStarted ? CallPhase.NEVER : reportedPhase;
        if (code == ErrorCode.LINK_LOST) {
            mCall.environment().markSilent(attempt.target(), head().service(), mCall.route().id());
        }
        mResponse.addToTrail(code.wireName() + "/" + phase);
        if (phase.isNotRun()) {
            mPlan.recordAbsence(attempt.host());
        } else {
            mIdentity.quota().commit();
            mAttempts.recordRun(attempt);
        }
        final boolean isResolvable =
                code == ErrorCode.LINK_LOST && !head().idempotent() && !phase.isNotRun();
        mAttempts.recordMayHaveRun(!phase.isNotRun() && !isResolvable);
        final boolean canRunAgain =
                !mBody.isSent() && !mResponse.isHeadForwarded() && mPlan.canRunAgain();
        if (canRunAgain && (head().idempotent() || phase.isNotRun())) {
            mOffers.offerNext(mAttempts.nextTurn(), Refusal.of(code));
        } else if (isResolvable && !phase.isNotRun() && !mResponse.isHeadForwarded()) {
            queryOutcome(attempt);
        } else {
            mEnding.fail(code, phase);
        }
    }

    private void queryOutcome(final GateAttempt attempt) {
        mAttempts.awaitOutcome();
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "link lost during call %s; querying its outcome from the gate", attempt.callId());
        mCall.environment()
                .resolveOutcome(
                        attempt.target(),
                        attempt.callId(),
                        attempt.gateIncarnation(),
                        phase ->
                                mCall.executor()
                                        .execute(() -> onOutcome(phase.orElse(CallPhase.STARTED))));
    }

    private void onOutcome(final CallPhase phase) {
        if (mResponse.isFinished()) {
            return;
        }
        mResponse.addToTrail("outcome/" + phase);
        mAttempts.recordOutcome(phase);
        if (phase.isNotRun() && !mBody.isSent() && mPlan.canRunAgain()) {
            mOffers.offerNext(mAttempts.nextTurn(), Refusal.of(ErrorCode.LINK_LOST));
        } else {
            mEnding.fail(ErrorCode.LINK_LOST, phase);
        }
    }
}
