package io.bilberrylane.node;

import com.google.common.base.Preconditions;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.CallPlan;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Where one call is: its next offer is due, or it is at a gate, or it has ended. Beside that, a
 * silent gate may have it until another one admits it. Confined to the event loop of the call.
 */
final class CallAttempts {
    private sealed interface State {
        /** The holder of the turn offers the call to the next gate. */
        record OfferDue(OfferTurn turn) implements State {}

        /** The call is or was at a gate; what follows its end has not begun. */
        record AtGate(GateAttempt attempt) implements State {}

        record Ended() implements State {}
    }

    private final CallPlan mPlan;
    private final CallRetries mRetries;
    private final Consumer<String> mTrail;
    private State mState = new State.OfferDue(new OfferTurn());

    /** The attempt at a silent gate that stays open until another gate admits the call. */
    private Optional<GateAttempt> mSilent = Optional.empty();

    private boolean mMayHaveRun;
    private boolean mOutcomePending;

    /**
     * Creates the attempts of a call that was not offered to any gate yet.
     *
     * @param trail receives the steps of the call
     */
    CallAttempts(final CallPlan plan, final CallRetries retries, final Consumer<String> trail) {
        mPlan = plan;
        mRetries = retries;
        mTrail = trail;
    }

    // -- offers

    /**
     * Returns the turn for the next offer; earlier turns are lost.
     *
     * @throws IllegalStateException if the attempt at the present gate is open
     */
    OfferTurn nextTurn() {
        Preconditions.checkState(openAttempt().isEmpty(), "the call is at a gate");
        final OfferTurn turn = new OfferTurn();
        if (!(mState instanceof State.Ended)) {
            mState = new State.OfferDue(turn);
        }
        return turn;
    }

    /** Returns whether the holder of a turn may offer the call. */
    boolean isValid(final OfferTurn turn) {
        return mState instanceof State.OfferDue due && due.turn() == turn;
    }

    /**
     * Offers the call to a gate and thereby uses the turn up.
     *
     * @throws IllegalStateException if the turn is not valid
     */
    void open(final OfferTurn turn, final GateAttempt attempt, final long queueTimeoutMillis) {
        Preconditions.checkState(isValid(turn), "the turn is lost");
        mState = new State.AtGate(attempt);
        attempt.open(queueTimeoutMillis);
    }

    // -- present attempt

    /** Returns whether an attempt is the one at the present gate. */
    boolean isCurrent(final GateAttempt attempt) {
        return mState instanceof State.AtGate atGate && atGate.attempt() == attempt;
    }

    /** Returns the attempt at the present gate if it is open. */
    Optional<GateAttempt> openAttempt() {
        return mState instanceof State.AtGate atGate && atGate.attempt().isOpen()
                ? Optional.of(atGate.attempt())
                : Optional.empty();
    }

    /** Returns the open attempt at the present gate if the gate has admitted the call. */
    Optional<GateAttempt> attemptInService() {
        return openAttempt().filter(GateAttempt::isInService);
    }

    /** Withdraws the call from all gates; no offer follows. */
    void end() {
        abandonSilent();
        openAttempt().ifPresent(GateAttempt::abandon);
        mState = new State.Ended();
    }

    // -- runs

    /**
     * Returns whether a target of an attempt that has ended may have run the call, as long as its
     * gate has not said otherwise.
     */
    boolean mayHaveRun() {
        return mMayHaveRun || mOutcomePending;
    }

    /** Records that the outcome of the last attempt is being queried from its gate. */
    void awaitOutcome() {
        mOutcomePending = true;
    }

    /** Records the outcome of the last attempt. */
    void recordOutcome(final CallPhase phase) {
        mOutcomePending = false;
        recordMayHaveRun(!phase.isNotRun());
    }

    /** Records whether the target of an attempt that has ended may have run the call. */
    void recordMayHaveRun(final boolean mayHaveRun) {
        mMayHaveRun |= mayHaveRun;
    }

    /** Records that a target has received the call. The next target needs a new retry grant. */
    void recordRun(final GateAttempt attempt) {
        if (attempt.markRunRecorded()) {
            mPlan.recordRun(attempt.host());
            mRetries.endGrant();
        }
    }

    // -- silent gate

    /** Keeps the present attempt open beside the next offer, whose turn is returned. */
    OfferTurn keepSilent(final GateAttempt attempt) {
        Preconditions.checkState(isCurrent(attempt), "another attempt is the present one");
        abandonSilent();
        mSilent = Optional.of(attempt);
        recordRun(attempt);
        mRetries.keepGrant();
        final OfferTurn turn = new OfferTurn();
        mState = new State.OfferDue(turn);
        return turn;
    }

    /** Withdraws the call from the silent gate, whose target may have run it. */
    void abandonSilent() {
        mSilent.ifPresent(
                silent -> {
                    mMayHaveRun = true;
                    silent.abandon();
                });
        mSilent = Optional.empty();
    }

    /** Withdraws the call from all gates but the one that has admitted it; ends a pending offer. */
    void keepOnly(final GateAttempt admitted) {
        if (mSilent.isEmpty()) {
            return;
        }
        if (mSilent.get() != admitted) {
            abandonSilent();
            return;
        }
        mSilent = Optional.empty();
        mTrail.accept("late-admission");
        admitted.markAdmitted();
        openAttempt().ifPresent(this::abandonUnadmitted);
        mState = new State.AtGate(admitted);
    }

    /** Withdraws the call from a gate that may have admitted it before it learns of that. */
    private void abandonUnadmitted(final GateAttempt attempt) {
        attempt.abandon();
        mMayHaveRun = true;
        recordRun(attempt);
    }

    /**
     * Waits for the silent gate again, because no other gate has admitted the call. The target
     * there may be running the call, and an error response must not take the place of its response.
     *
     * @return false if there is no such gate
     */
    boolean resumeSilent() {
        if (mSilent.isEmpty()) {
            return false;
        }
        mState = new State.AtGate(mSilent.get());
        mSilent = Optional.empty();
        mTrail.accept("resumed");
        return true;
    }

    /** Records the end of the attempt at the silent gate; returns false for another attempt. */
    boolean endSilent(final GateAttempt attempt, final CallPhase phase) {
        if (mSilent.isEmpty() || mSilent.get() != attempt) {
            return false;
        }
        mSilent = Optional.empty();
        mMayHaveRun |= !phase.isNotRun();
        mTrail.accept("silent-ended/" + phase);
        return true;
    }
}
