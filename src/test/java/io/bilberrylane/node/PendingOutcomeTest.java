package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.outcome.CallPhase;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The link to the gate of a call that may run once is lost; the gate is asked for the outcome. */
final class PendingOutcomeTest {
    private final RecordedResponse mResponse = new RecordedResponse();
    private final VirtualIngress mIngress = VirtualIngress.of(2, 0);
    private RoutedCall mCall;

    @BeforeEach
    void loseLink() {
        mCall = mIngress.start(false, "", false, 2, Optional.empty(), mResponse);
        mIngress.lastOffer().loseLink(true);
        mIngress.runPendingTasks();
        assertThat(mIngress.hasOutcomeQuestion()).isTrue();
    }

    @AfterEach
    void stop() {
        mIngress.close();
    }

    // Guards against: a caller is told that its request has not run, because its deadline passes
    // before the gate has replied.
    @Test
    void shouldPromiseNothingWhenTheDeadlinePassesBeforeTheReply() {
        mIngress.passMillis(VirtualIngress.TIMEOUT_MILLIS + 100);
        assertThat(mResponse.end()).isEqualTo(RecordedResponse.End.FAILED);
    }

    @Test
    void shouldPromiseNothingWhenTheNodeEndsBeforeTheReply() {
        mCall.endWithNode();
        mIngress.runPendingTasks();
        assertThat(mResponse.end()).isEqualTo(RecordedResponse.End.FAILED);
    }

    @Test
    void shouldOfferTheCallAgainWhenTheReplyIsThatItNeverStarts() {
        mIngress.takeOutcomeQuestion().consumer().accept(Optional.of(CallPhase.NEVER));
        mIngress.runPendingTasks();
        assertThat(mIngress.offers()).hasSize(2);
    }

    @Test
    void shouldPromiseNothingWhenThereIsNoReply() {
        mIngress.takeOutcomeQuestion().consumer().accept(Optional.empty());
        mIngress.runPendingTasks();
        assertThat(mResponse.end()).isEqualTo(RecordedResponse.End.FAILED);
        assertThat(mIngress.offers()).hasSize(1);
    }
}
