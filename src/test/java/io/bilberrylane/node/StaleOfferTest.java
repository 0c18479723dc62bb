package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * A call waits before its next offer while a silent gate still has it. The gate admits it late and
 * fails, and the call is offered again before the wait is over.
 */
final class StaleOfferTest {
    private static final int ATTEMPTS = 4;
    private static final long PAUSE_MILLIS = 20;
    private static final long TOKEN_MILLIS = 500;

    private final RecordedResponse mResponse = new RecordedResponse();
    private VirtualIngress mIngress;

    @AfterEach
    void stop() {
        mIngress.close();
    }

    /** Lets time pass until the gate of the first offer is silent. */
    private OfferedCall awaitSilence() {
        final OfferedCall first = mIngress.lastOffer();
        mIngress.passMillis(VirtualIngress.SILENCE_MILLIS);
        return first;
    }

    private void admitLateAndFail(final OfferedCall silent) {
        silent.admit();
        silent.fail(ErrorCode.TARGET_FAILED, CallPhase.STARTED);
        mIngress.runPendingTasks();
    }

    private void respond(final OfferedCall offer) {
        offer.admit();
        offer.respondWhole(200, false);
        mIngress.runPendingTasks();
    }

    private void assertAnsweredBy(final OfferedCall offer) {
        assertThat(mResponse.end()).isEqualTo(RecordedResponse.End.ANSWERED);
        assertThat(mResponse.body()).isEqualTo(offer.response());
    }

    @Nested
    final class Pause {
        // Guards against: a pause that began before the call was offered anew makes a second offer
        // beside it, and the caller gets bytes of both responses (MIXED).
        @Test
        void shouldNotOfferTheCallTwiceWhenItWasOfferedDuringThePause() {
            mIngress = VirtualIngress.of(3, 0);
            mIngress.start(true, "", false, ATTEMPTS, Optional.empty(), mResponse);
            mIngress.setChoosable(false);
            final OfferedCall silent = awaitSilence();
            mIngress.setChoosable(true);
            admitLateAndFail(silent);
            final OfferedCall present = mIngress.lastOffer();
            mIngress.passMillis(2 * PAUSE_MILLIS);
            assertThat(mIngress.offers()).containsExactly(silent, present);
            respond(present);
            assertAnsweredBy(present);
        }
    }

    @Nested
    final class WaitForAnAllowance {
        private OfferedCall startAtSilentGate() {
            mIngress = VirtualIngress.of(4, TOKEN_MILLIS);
            mIngress.start(true, "", false, ATTEMPTS, Optional.empty(), mResponse);
            mIngress.answerReservation(true);
            final OfferedCall silent = awaitSilence();
            assertThat(mIngress.hasReservation()).isTrue();
            return silent;
        }

        // Guards against: an allowance that was requested before the call was offered anew makes
        // a second offer beside it, and the caller gets bytes of both responses (MIXED).
        @Test
        void shouldNotOfferTheCallTwiceWhenItWasOfferedBeforeTheGrant() {
            final OfferedCall silent = startAtSilentGate();
            admitLateAndFail(silent);
            while (mIngress.hasReservation()) {
                mIngress.answerReservation(true);
                mIngress.runPendingTasks();
            }
            final OfferedCall present = mIngress.lastOffer();
            assertThat(mIngress.offers()).containsExactly(silent, present);
            respond(present);
            assertAnsweredBy(present);
            assertThat(mIngress.tokensOut()).isZero();
        }

        // Guards against: the refusal of an allowance that was requested before the call was
        // offered anew ends the call while a gate has it.
        @Test
        void shouldNotRefuseTheCallWhenItWasOfferedBeforeTheRefusal() {
            final OfferedCall silent = startAtSilentGate();
            admitLateAndFail(silent);
            mIngress.answerReservation(true);
            final OfferedCall present = mIngress.lastOffer();
            if (mIngress.hasReservation()) {
                mIngress.answerReservation(false);
            }
            mIngress.runPendingTasks();
            respond(present);
            assertAnsweredBy(present);
            assertThat(mIngress.tokensOut()).isZero();
        }
    }
}
