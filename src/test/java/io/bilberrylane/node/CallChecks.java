package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

/** What must always hold for one call at an ingress, as its gates and its caller see it. */
final class CallChecks {
    private final CallKind mKind;
    private final VirtualIngress mIngress;
    private final RecordedResponse mResponse;

    CallChecks(final CallKind kind, final VirtualIngress ingress, final RecordedResponse response) {
        mKind = kind;
        mIngress = ingress;
        mResponse = response;
    }

    /** Checks what must hold after each event. */
    void check(final boolean isEnded) {
        checkOpenAttempts(isEnded);
        checkResponse();
        checkRuns();
        assertThat(mIngress.callsEnded()).as("ends of the call").isEqualTo(isEnded ? 1 : 0);
    }

    private void checkOpenAttempts(final boolean isEnded) {
        final long open = mIngress.offers().stream().filter(OfferedCall::isOpen).count();
        assertThat(open).as("open attempts").isLessThanOrEqualTo(isEnded ? 0 : 2);
        assertThat(mIngress.offers().stream().filter(OfferedCall::isAdmittedAndOpen).count())
                .as("open attempts that a gate has admitted")
                .isLessThanOrEqualTo(1);
    }

    private void checkResponse() {
        assertThat(mResponse.heads()).as("heads").isLessThanOrEqualTo(1);
        assertThat(mResponse.ends()).as("ends").isLessThanOrEqualTo(1);
        assertThat(mResponse.eventsAfterEnd()).as("events after the end").isZero();
        final String body = mResponse.body();
        assertThat(body.chars().distinct().count())
                .as("targets whose bytes the caller has got")
                .isLessThanOrEqualTo(1);
        if (mResponse.end() == RecordedResponse.End.ANSWERED) {
            assertThat(body).as("a whole response").hasSize(OfferedCall.RESPONSE_BYTES);
        }
    }

    private void checkRuns() {
        final long received = mIngress.offers().stream().filter(OfferedCall::isReceived).count();
        if (!mKind.idempotent()) {
            assertThat(received)
                    .as("targets that have received a call that may run once")
                    .isLessThanOrEqualTo(1);
        }
        if (mResponse.end() == RecordedResponse.End.REFUSED) {
            assertThat(received).as("targets that have received a refused call").isZero();
        }
        assertThat(received)
                .as("targets that have received the call, with so many retries granted")
                .isLessThanOrEqualTo(1 + mIngress.retriesGranted());
    }
}
