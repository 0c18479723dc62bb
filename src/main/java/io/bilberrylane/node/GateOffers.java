package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.policy.CallPlan;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Offers one call to gates in turn, after its caller was identified, a retry was granted if it has
 * run, and the limit of its organisation has room. Confined to the event loop of the call.
 */
final class GateOffers {
    private static final long RETRY_PAUSE_MILLIS = 20;

    private final CallContext mCall;
    private final CallPlan mPlan;
    private final CallIdentity mIdentity;
    private final GateChooser mChooser;
    private final CallRetries mRetries;
    private final CallAttempts mAttempts;
    private final CallerResponse mResponse;
    private final AttemptListener mListener;
    private final Consumer<Refusal> mOnRefused;

    /**
     * Creates the offers of a call.
     *
     * @param listener receives the events of the gates
     * @param onRefused receives the reason if the call cannot be offered to any gate
     */
    GateOffers(
            final CallContext call,
            final GateChooser chooser,
            final CallRetries retries,
            final CallAttempts attempts,
            final CallerResponse response,
            final AttemptListener listener,
            final Consumer<Refusal> onRefused) {
        mCall = call;
        mPlan = call.plan();
        mIdentity = call.identity();
        mChooser = chooser;
        mRetries = retries;
        mAttempts = attempts;
        mResponse = response;
        mListener = listener;
        mOnRefused = onRefused;
    }

    /**
     * Offers the call to the next gate, at once or later, while the turn is valid.
     *
     * @param turn the right to make the offer
     * @param fallback the reason that is reported if no gate is available; it may name the gate
     *     that holds the idempotency key of the call
     */
    void offerNext(final OfferTurn turn, final Refusal fallback) {
        if (!mAttempts.isValid(turn)) {
            return;
        }
        final long elapsedMillis = mResponse.elapsedMillis();
        if (elapsedMillis >= mIdentity.head().timeoutMillis()) {
            mOnRefused.accept(Refusal.of(ErrorCode.DEADLINE_EXCEEDED));
        } else if (!mIdentity.renew()) {
            mResponse.addToTrail("key-withdrawn");
            mOnRefused.accept(
                    mAttempts.mayHaveRun() ? fallback : Refusal.of(ErrorCode.UNKNOWN_KEY));
        } else if (!mRetries.mayOffer()) {
            mResponse.addToTrail("budget");
            mOnRefused.accept(fallback);
        } else if (!mIdentity.quota().isReady()) {
            reserveQuota(turn, fallback);
        } else {
            offerNow(turn, fallback, elapsedMillis);
        }
    }

    private void offerNow(final OfferTurn turn, final Refusal fallback, final long elapsedMillis) {
        final Optional<TargetRef> target =
                fallback.holder().isEmpty()
                        ? mChooser.choose(mResponse.elapsedMillis())
                        : mCall.environment().keyHolder(fallback.holder());
        if (target.isPresent()) {
            open(turn, target.get(), elapsedMillis);
        } else {
            refuseOrRetryLater(turn, fallback);
        }
    }

    private void open(final OfferTurn turn, final TargetRef target, final long elapsedMillis) {
        final CallEnvironment environment = mCall.environment();
        final CallHead head = mIdentity.head();
        final long meanServiceMillis = environment.meanServiceMillis(mCall.route(), head.service());
        final boolean lastResort = mPlan.isLastResort(elapsedMillis, meanServiceMillis);
        final long queueTimeoutMillis =
                Math.min(
                        mPlan.queueTimeoutMillis(elapsedMillis, meanServiceMillis),
                        mIdentity.quota().maxWaitMillis());
        mPlan.recordOffer(lastResort, environment.isRemote(target));
        mResponse.addToTrail(target.candidate().host() + "+" + queueTimeoutMillis);
        final CallHead offered =
                head.forAttempt(
                        environment.nextCallId(),
                        head.timeoutMillis() - elapsedMillis,
                        mPlan.runs() + 1,
                        elapsedMillis,
                        queueTimeoutMillis,
                        lastResort);
        final GateAttempt next =
                new GateAttempt(environment, mCall.executor(), target, offered, mListener);
        mAttempts.open(turn, next, queueTimeoutMillis);
    }

    /** Reserves a call of the organisation's limit, then goes on with the offer. */
    private void reserveQuota(final OfferTurn turn, final Refusal fallback) {
        final CallQuota quota = mIdentity.quota();
        quota.reserve(
                mCall.executor(),
                () -> {
                    if (mAttempts.isValid(turn)) {
                        offerNext(turn, fallback);
                    } else {
                        quota.release();
                    }
                },
                retryAfterMillis -> {
                    if (mAttempts.isValid(turn)) {
                        mResponse.addToTrail("quota");
                        mOnRefused.accept(
                                mPlan.runs() > 0
                                        ? fallback
                                        : new Refusal(
                                                ErrorCode.QUOTA_EXCEEDED, retryAfterMillis, ""));
                    }
                });
    }

    /**
     * Ends an offer for which no gate is available. Schedules another one if the plan allows it and
     * less than half of the objective will have passed by then; otherwise refuses the call.
     */
    private void refuseOrRetryLater(final OfferTurn turn, final Refusal refusal) {
        final boolean hasTime =
                mResponse.elapsedMillis() + RETRY_PAUSE_MILLIS
                        < mIdentity.head().objectiveMillis() / 2;
        if (!mPlan.canOffer() || !hasTime) {
            mOnRefused.accept(refusal);
            return;
        }
        mCall.executor()
                .schedule(
                        () -> offerNext(turn, refusal), RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
