package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.KeyDigest;
import io.bilberrylane.catalogue.Organisation;
import io.bilberrylane.http.CallerPermit;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.CallerIdentity;
import io.bilberrylane.policy.Credential;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Plays one schedule of events around a real call at an ingress, in virtual time, and checks after
 * each event what must always hold.
 */
final class CallSchedule implements AutoCloseable {
    private static final int HOSTS = 4;
    private static final int BODY_PART_BYTES = 5;
    private static final String IDEMPOTENCY_KEY = "booking-1";

    /** The weight of events that do not end a call early. */
    private static final int COMMON = 8;

    /**
     * An event that may happen now.
     *
     * @param weight how likely it is, relative to the others
     */
    private record Event(String name, int weight, Runnable action) {
        /** Returns the name without the gate. */
        private String type() {
            final int gate = name.indexOf('@');
            return gate < 0 ? name : name.substring(0, name.lastIndexOf(' ', gate));
        }
    }

    private static final Organisation ORGANISATION =
            new Organisation(
                    VirtualIngress.ORGANISATION,
                    List.of(KeyDigest.ofKey("key")),
                    OptionalInt.empty(),
                    0,
                    0);

    private final CallKind mKind;
    private final VirtualIngress mIngress;
    private final RecordedResponse mResponse = new RecordedResponse();
    private final RoutedCall mCall;
    private final CallChecks mChecks;
    private final List<ByteBuf> mBodyParts = new ArrayList<>();
    private final List<String> mTrace = new ArrayList<>();
    private boolean mBodyEnded;
    private boolean mCancelled;

    private CallSchedule(final CallKind kind) {
        mKind = kind;
        mIngress = VirtualIngress.of(HOSTS, kind.tokenMillis());
        final Catalogue catalogue = withOrganisation();
        mIngress.setCatalogue(kind.identified() ? catalogue : Catalogue.empty());
        final CallerPermit permit =
                new CallerPermit(
                        catalogue,
                        new Credential.Key(KeyDigest.ofKey("key")),
                        "calendar.example",
                        "/slots",
                        new CallerIdentity.Known(ORGANISATION));
        mChecks = new CallChecks(kind, mIngress, mResponse);
        mTrace.add(kind.toString());
        mCall =
                mIngress.start(
                        kind.idempotent(),
                        kind.hasIdempotencyKey() ? IDEMPOTENCY_KEY : "",
                        kind.hasBody(),
                        kind.attempts(),
                        kind.identified() ? Optional.of(permit) : Optional.empty(),
                        mResponse);
        mIngress.runPendingTasks();
    }

    private static Catalogue withOrganisation() {
        return Catalogue.builder().organisation(ORGANISATION).build();
    }

    private static Catalogue withoutOrganisation() {
        return Catalogue.builder().requireKeys().build();
    }

    /**
     * Plays a schedule.
     *
     * @param kind the kind of call
     * @param choices select the events, one after the other
     * @return the failed check with the events that led to it; empty if everything held
     */
    static Optional<String> play(final CallKind kind, final List<Integer> choices) {
        try (CallSchedule schedule = new CallSchedule(kind)) {
            try {
                choices.forEach(schedule::step);
                schedule.finish();
                return Optional.empty();
            } catch (AssertionError | RuntimeException e) {
                return Optional.of(String.join("\n  ", schedule.mTrace) + "\n" + e);
            }
        }
    }

    private void step(final int choice) {
        final List<Event> events = possibleEvents();
        final Event event = select(events, choice);
        mTrace.add(event.name());
        event.action().run();
        mIngress.runPendingTasks();
        mChecks.check(isEnded());
    }

    private Event select(final List<Event> events, final int choice) {
        final int[] weights =
                events.stream()
                        .mapToInt(event -> event.weight() * mKind.factorOf(event.type()))
                        .toArray();
        int left = Math.floorMod(choice, Math.max(1, Arrays.stream(weights).sum()));
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return events.get(i);
            }
        }
        return events.get(0);
    }

    /** Lets the deadline pass; then nothing of the call may be left. */
    private void finish() {
        mTrace.add("deadline passes");
        mIngress.passMillis(VirtualIngress.TIMEOUT_MILLIS + 100);
        while (mIngress.hasReservation()) {
            mIngress.answerReservation(true);
            mIngress.runPendingTasks();
        }
        mChecks.check(isEnded());
        assertThat(isEnded()).as("the call has ended").isTrue();
        if (mKind.tokenMillis() == CallKind.LASTING_MILLIS) {
            assertThat(mIngress.tokensOut()).as("tokens that are not returned").isZero();
        }
        assertThat(mIngress.completions())
                .as("attempts whose end was counted")
                .isEqualTo(mIngress.offers().size());
        assertThat(mBodyParts).as("body parts").allMatch(part -> part.refCnt() == 0);
    }

    // -- events

    private List<Event> possibleEvents() {
        final List<Event> events = new ArrayList<>();
        for (final int millis : new int[] {1, 20, (int) VirtualIngress.SILENCE_MILLIS}) {
            add(events, "time +" + millis, () -> mIngress.passMillis(millis));
        }
        addRare(events, "time +400", () -> mIngress.passMillis(400));
        mIngress.offers().stream()
                .filter(OfferedCall::isOpen)
                .forEach(offer -> addGateEvents(events, offer));
        if (mIngress.hasReservation()) {
            add(events, "token granted", () -> mIngress.answerReservation(true));
            add(events, "token refused", () -> mIngress.answerReservation(false));
        }
        if (mIngress.hasOutcomeQuestion()) {
            addOutcomeEvents(events);
        }
        if (!isEnded()) {
            addCallerEvents(events);
            addNodeEvents(events);
        }
        return events;
    }

    private static void add(final List<Event> events, final String name, final Runnable action) {
        events.add(new Event(name, COMMON, action));
    }

    private static void addRare(
            final List<Event> events, final String name, final Runnable action) {
        events.add(new Event(name, 1, action));
    }

    private void addGateEvents(final List<Event> events, final OfferedCall offer) {
        final String at = " " + offer;
        switch (offer.stage()) {
            case OFFERED -> {
                add(events, "admit" + at, offer::admit);
                add(events, "refuse overloaded" + at, () -> offer.refuse(ErrorCode.OVERLOADED));
                add(events, "refuse leaving" + at, () -> offer.refuse(ErrorCode.LEAVING));
                if (mKind.hasIdempotencyKey()) {
                    addKeyEvents(events, offer);
                }
                add(events, "lose link" + at, () -> offer.loseLink(false));
                if (!mKind.hasBody()) {
                    add(events, "lose link, received" + at, () -> offer.loseLink(true));
                }
            }
            case ADMITTED -> {
                add(
                        events,
                        "fail" + at,
                        () -> offer.fail(ErrorCode.TARGET_FAILED, CallPhase.STARTED));
                add(events, "lose link" + at, () -> offer.loseLink(false));
                add(events, "credit" + at, () -> offer.grantCredit(BODY_PART_BYTES));
                if (offer.isReceived()) {
                    add(events, "head 200" + at, () -> offer.respondHead(200, false));
                    add(events, "head 500" + at, () -> offer.respondHead(500, false));
                    add(events, "whole 200" + at, () -> offer.respondWhole(200, false));
                    add(events, "whole 500" + at, () -> offer.respondWhole(500, false));
                    add(events, "whole 503, not run" + at, () -> offer.respondWhole(503, true));
                }
            }
            case RESPONDING -> {
                if (offer.isResponseComplete()) {
                    add(events, "end" + at, offer::endResponse);
                } else {
                    add(events, "data" + at, () -> offer.respondData(4));
                    add(events, "all data" + at, () -> offer.respondData(100));
                }
                add(
                        events,
                        "fail" + at,
                        () -> offer.fail(ErrorCode.TARGET_FAILED, CallPhase.STARTED));
            }
            case ENDED -> throw new AssertionError("an ended call is not open");
        }
    }

    private void addKeyEvents(final List<Event> events, final OfferedCall offer) {
        final String at = " " + offer;
        final String holder = mIngress.host(HOSTS - 1);
        add(events, "refuse key held" + at, () -> offer.refuseHeldKey(holder));
        add(events, "refuse key in progress" + at, () -> offer.refuse(ErrorCode.KEY_IN_PROGRESS));
        add(
                events,
                "refuse claim unavailable" + at,
                () -> offer.refuse(ErrorCode.CLAIM_UNAVAILABLE));
    }

    private void addOutcomeEvents(final List<Event> events) {
        add(events, "outcome", () -> answerOutcome(mIngress.takeOutcomeQuestion()));
        add(
                events,
                "outcome unknown",
                () -> mIngress.takeOutcomeQuestion().consumer().accept(Optional.empty()));
    }

    private void answerOutcome(final VirtualIngress.OutcomeQuestion question) {
        final boolean isReceived =
                mIngress.offers().stream()
                        .filter(offer -> offer.callId().equals(question.callId()))
                        .anyMatch(OfferedCall::isReceived);
        question.consumer().accept(Optional.of(isReceived ? CallPhase.STARTED : CallPhase.NEVER));
    }

    private void addCallerEvents(final List<Event> events) {
        if (mKind.hasBody() && !mBodyEnded) {
            add(events, "body part", this::sendBodyPart);
            add(
                    events,
                    "body end",
                    () -> {
                        mBodyEnded = true;
                        mCall.end();
                    });
        }
        addRare(
                events,
                "caller leaves",
                () -> {
                    mCancelled = true;
                    mCall.cancel();
                });
    }

    private void sendBodyPart() {
        final ByteBuf part = Unpooled.buffer(BODY_PART_BYTES).writeZero(BODY_PART_BYTES);
        mBodyParts.add(part);
        mCall.data(part);
    }

    private void addNodeEvents(final List<Event> events) {
        add(events, "no gate to choose", () -> mIngress.setChoosable(false));
        add(events, "gates to choose", () -> mIngress.setChoosable(true));
        addRare(events, "retries spent", () -> mIngress.setRetriesLeft(false));
        addRare(events, "retries left", () -> mIngress.setRetriesLeft(true));
        addRare(events, "node ends", mCall::endWithNode);
        if (mKind.identified()) {
            addRare(events, "key withdrawn", () -> mIngress.setCatalogue(withoutOrganisation()));
            add(events, "key restored", () -> mIngress.setCatalogue(withOrganisation()));
        }
    }

    private boolean isEnded() {
        return mCancelled || mResponse.end() != RecordedResponse.End.PENDING;
    }

    @Override
    public void close() {
        mIngress.close();
    }
}
