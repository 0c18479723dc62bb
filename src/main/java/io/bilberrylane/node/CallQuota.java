package io.bilberrylane.node;

import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.QuotaAnswer;
import io.bilberrylane.policy.QuotaPlan;
import io.netty.util.concurrent.EventExecutor;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * What one call takes from its organisation's limit: a token is reserved before the call is offered
 * to a gate, spent once the call may have reached a target, and released if it certainly did not.
 * Confined to the event loop of the call.
 */
final class CallQuota {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * A call may arrive at its target this long after its token has expired; it takes up to 20 ms
     * of the time that the bound covers on its way.
     */
    private static final long MAX_LATE_NANOS = QuotaPlan.QUEUEING_NANOS - 20 * NANOS_PER_MILLI;

    private final TokenSource mTokens;
    private final String mOrganisation;
    private Optional<Reservation> mReservation = Optional.empty();
    private boolean mHeld;
    private long mExpiryNanos;

    /** What follows the answer to a reservation. */
    private record Reservation(Runnable onGranted, LongConsumer onRefused) {}

    /** A call that a target makes on behalf of a request that it runs takes nothing. */
    CallQuota(final TokenSource tokens, final CallHead head) {
        mTokens = tokens;
        mOrganisation = head.nested() ? "" : head.organisation();
    }

    /** Returns whether the call may be offered now; drops a token that has expired. */
    boolean isReady() {
        if (!isLimited()) {
            return true;
        }
        mHeld = mHeld && mTokens.remainingNanos(mExpiryNanos) > 0;
        return mHeld;
    }

    private boolean isLimited() {
        return !mOrganisation.isEmpty() && mTokens.isLimited(mOrganisation);
    }

    /** Returns how long the call may wait at a gate: owners count its token no longer. */
    long maxWaitMillis() {
        return mHeld
                ? Math.max(0, mTokens.remainingNanos(mExpiryNanos) + MAX_LATE_NANOS)
                        / NANOS_PER_MILLI
                : Long.MAX_VALUE;
    }

    /** Returns whether the target may receive the call now, without another token. */
    boolean mayArrive() {
        return !isLimited() || mHeld && maxWaitMillis() > 0;
    }

    /**
     * Reserves a token. One of the consumers is called, at once or later, on the executor. If an
     * earlier reservation has no answer yet, these consumers get its answer in place of the earlier
     * ones.
     *
     * @param onRefused receives the time after which a retry may succeed, in milliseconds
     */
    void reserve(
            final EventExecutor executor, final Runnable onGranted, final LongConsumer onRefused) {
        final boolean isPending = mReservation.isPresent();
        mReservation = Optional.of(new Reservation(onGranted, onRefused));
        if (!isPending) {
            mTokens.reserve(mOrganisation, executor, this::onAnswer);
        }
    }

    private void onAnswer(final QuotaAnswer answer) {
        final Reservation reservation = mReservation.orElseThrow();
        mReservation = Optional.empty();
        if (answer.granted()) {
            mHeld = true;
            mExpiryNanos = answer.expiryNanos();
            reservation.onGranted().run();
        } else {
            reservation
                    .onRefused()
                    .accept((answer.retryAfterNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
        }
    }

    /** Spends the token, because the call runs or may have run. */
    void commit() {
        if (mHeld) {
            mHeld = false;
            mTokens.recordSpent();
        }
    }

    /** Releases the token, because the call did not run. */
    void release() {
        if (mHeld) {
            mHeld = false;
            mTokens.release(mOrganisation, mExpiryNanos);
        }
    }
}
