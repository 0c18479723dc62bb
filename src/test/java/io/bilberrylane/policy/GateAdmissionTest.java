package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.LongConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;

final class GateAdmissionTest {
    private static final long MILLI = 1_000_000;

    private static AdmissionRequest request(
            final String id, final int priority, final long queueDeadlineMillis) {
        return new AdmissionRequest(
                id,
                priority,
                0,
                queueDeadlineMillis * MILLI,
                500 * MILLI,
                1_000 * MILLI,
                WaitMode.AWAIT_SLOT);
    }

    @Group
    class RandomRuns {
        /**
         * Checks the bounds under random arrivals, completions, failures, cold starts and stops.
         */
        @Property(seed = "21", tries = 500)
        void shouldNeverExceedTheAllowanceWhenEventsAreRandom(@ForAll final long seed) {
            simulate(seed, false);
        }

        /** Without contention between concurrent requests, nothing lowers the cold concurrency. */
        @Property(seed = "22", tries = 500)
        void shouldKeepTheColdConcurrencyWhenThereIsNoContention(@ForAll final long seed) {
            simulate(seed, true);
        }

        private void simulate(final long seed, final boolean uniform) {
            final Random random = new Random(seed);
            final int slots = 1 + random.nextInt(8);
            final int cold = 1 + random.nextInt(slots);
            final GateAdmission gate = GateAdmission.of(slots, cold, random.nextInt(20));
            final List<String> inService = new ArrayList<>();
            final Set<String> waiting = new HashSet<>();
            long now = 0;
            for (int step = 0; step < 400; step++) {
                now += random.nextInt(3) * MILLI;
                switch (random.nextInt(10)) {
                    case 0, 1, 2, 3, 4 -> {
                        final AdmissionRequest request =
                                new AdmissionRequest(
                                        "c" + step,
                                        random.nextInt(3),
                                        random.nextInt(2),
                                        now + 5 * MILLI,
                                        now + random.nextInt(80) * MILLI,
                                        now + (80 + random.nextInt(200)) * MILLI,
                                        WaitMode.values()[random.nextInt(3)]);
                        final int before = inService.size();
                        final int allowance = gate.load().allowance();
                        switch (gate.offer(request, now)) {
                            case AdmissionDecision.Admitted a -> {
                                assertThat(before).isLessThan(allowance);
                                inService.add(request.callId());
                            }
                            case AdmissionDecision.Queued q -> waiting.add(request.callId());
                            case AdmissionDecision.Refused r ->
                                    assertThat(r.code())
                                            .isIn(ErrorCode.OVERLOADED, ErrorCode.LEAVING);
                        }
                    }
                    case 5, 6, 7 -> {
                        if (!inService.isEmpty()) {
                            final String id = inService.remove(random.nextInt(inService.size()));
                            final boolean healthy = uniform || random.nextInt(10) > 0;
                            final boolean slow = !uniform && random.nextInt(8) == 0;
                            final long nanos = (slow ? 50 : 3) * MILLI;
                            apply(gate.release(id, healthy, nanos, now), inService, waiting);
                        }
                    }
                    case 8 -> apply(gate.updateQueue(now), inService, waiting);
                    default -> {
                        if (random.nextInt(20) == 0) {
                            gate.stop().forEach(request -> waiting.remove(request.callId()));
                            gate.resume();
                        } else if (random.nextInt(20) == 0) {
                            gate.resetToCold();
                        }
                    }
                }
                assertThat(gate.load().inFlight()).isEqualTo(inService.size());
                assertThat(gate.load().queued()).isEqualTo(waiting.size());
                assertThat(gate.load().allowance()).isBetween(uniform ? cold : 1, slots);
                assertThat(inService.size()).isLessThanOrEqualTo(slots);
            }
        }

        private void apply(
                final QueueUpdate update, final List<String> inService, final Set<String> waiting) {
            update.admitted()
                    .forEach(
                            request -> {
                                assertThat(waiting.remove(request.callId())).isTrue();
                                inService.add(request.callId());
                            });
            update.expired()
                    .forEach(request -> assertThat(waiting.remove(request.callId())).isTrue());
        }
    }

    @Group
    class Queue {
        private final GateAdmission mGate = GateAdmission.of(1, 1, 0);

        @Example
        void shouldServeTheHigherPriorityFirstWhenBothWait() {
            mGate.offer(request("first", 0, 100), 0);
            mGate.offer(request("batch", 2, 100), 0);
            mGate.offer(request("interactive", 0, 100), 0);
            assertThat(mGate.release("first", true, MILLI, 0).admitted())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("interactive");
        }

        @Example
        void shouldServeCallsThatCanMeetTheirObjectiveFirstWhenTheQueueIsLong() {
            mGate.offer(request("first", 0, 100), 0);
            mGate.offer(queued("late", 5), 0);
            mGate.offer(queued("tight", 60), 0);
            mGate.offer(queued("loose", 400), 0);
            assertThat(mGate.release("first", true, 20 * MILLI, 10 * MILLI).admitted())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("tight");
            assertThat(mGate.release("tight", true, 20 * MILLI, 30 * MILLI).admitted())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("loose");
            assertThat(mGate.release("loose", true, 20 * MILLI, 50 * MILLI).admitted())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("late");
        }

        private AdmissionRequest queued(final String id, final long objectiveDeadlineMillis) {
            return new AdmissionRequest(
                    id,
                    0,
                    0,
                    900 * MILLI,
                    objectiveDeadlineMillis * MILLI,
                    1_000 * MILLI,
                    WaitMode.AWAIT_SLOT);
        }

        @Example
        void shouldExpireWhenTheQueueTimeHasPassed() {
            mGate.offer(request("first", 0, 100), 0);
            mGate.offer(request("late", 0, 10), 0);
            assertThat(mGate.updateQueue(11 * MILLI).expired())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("late");
        }
    }

    @Group
    class Speed {
        private final GateAdmission mGate = GateAdmission.of(6, 6, 0);

        private AdmissionRequest call(final String id, final boolean lastResort) {
            return new AdmissionRequest(
                    id,
                    0,
                    0,
                    300 * MILLI,
                    200 * MILLI,
                    1_000 * MILLI,
                    lastResort ? WaitMode.LAST_RESORT : WaitMode.AWAIT_SLOT);
        }

        private void learnServiceTimeOf100Millis() {
            mGate.offer(call("known", false), 0);
            mGate.release("known", true, 100 * MILLI, 0);
            mGate.setProbeable(true);
        }

        @Example
        void shouldWaitForTheSpeedWhenItIsNotKnown() {
            learnServiceTimeOf100Millis();
            assertThat(mGate.offer(call("a", false), 0))
                    .isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(mGate.needsSpeedProbe(0)).isTrue();
            mGate.recordSpeed(100, 0);
            assertThat(mGate.updateQueue(0).admitted())
                    .extracting(AdmissionRequest::callId)
                    .containsExactly("a");
        }

        // Guards against: a target that does not tell its speed gets no call, as each probe is
        // taken for one without a result (CONFIG).
        @Example
        void shouldAdmitCallsWhenTheTargetAnswersProbesWithoutItsSpeed() {
            mGate.setProbeable(true);
            mGate.recordProbeFailure(0);
            mGate.offer(call("a", false), 100 * MILLI);
            mGate.recordNoSpeed();
            assertThat(mGate.updateQueue(100 * MILLI).admitted()).hasSize(1);
            assertThat(mGate.offer(call("b", false), 150 * MILLI))
                    .isInstanceOf(AdmissionDecision.Admitted.class);
        }

        // Guards against: one answer without a speed makes a slow target count as one of normal
        // speed for good.
        @Example
        void shouldAwaitTheSpeedWhenTheTargetHasToldItBefore() {
            mGate.setProbeable(true);
            mGate.recordSpeed(700, 0);
            mGate.recordNoSpeed();
            assertThat(mGate.offer(call("a", false), 100 * MILLI))
                    .isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(mGate.needsSpeedProbe(100 * MILLI)).isTrue();
        }

        @Example
        void shouldAwaitTheSpeedAgainWhenTheTargetTellsItLater() {
            mGate.setProbeable(true);
            mGate.recordNoSpeed();
            mGate.recordSpeed(700, 0);
            assertThat(mGate.offer(call("a", false), 100 * MILLI))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }

        @Example
        void shouldNotAdmitACallWhenTheTargetIsTooSlowForItsObjective() {
            learnServiceTimeOf100Millis();
            mGate.recordSpeed(700, 0);
            mGate.offer(call("a", false), 0);
            assertThat(mGate.updateQueue(0).admitted()).isEmpty();
            mGate.recordSpeed(100, 50 * MILLI);
            assertThat(mGate.updateQueue(50 * MILLI).admitted()).hasSize(1);
        }

        @Example
        void shouldExpireACallThatAwaitsOnlyTheSpeedWhenTheTargetIsSlow() {
            learnServiceTimeOf100Millis();
            final AdmissionRequest call =
                    new AdmissionRequest(
                            "a",
                            0,
                            0,
                            300 * MILLI,
                            200 * MILLI,
                            1_000 * MILLI,
                            WaitMode.AWAIT_SPEED);
            assertThat(mGate.offer(call, 0)).isInstanceOf(AdmissionDecision.Queued.class);
            mGate.recordSpeed(700, MILLI);
            assertThat(mGate.updateQueue(MILLI).expired()).containsExactly(call);
        }

        @Example
        void shouldRunOnASlowTargetAtTheLastMomentWhenThereIsNoOther() {
            learnServiceTimeOf100Millis();
            mGate.recordSpeed(700, 0);
            mGate.offer(call("a", true), 0);
            assertThat(mGate.updateQueue(0).admitted()).isEmpty();
            mGate.recordSpeed(700, 250 * MILLI);
            assertThat(mGate.updateQueue(250 * MILLI).admitted()).isEmpty();
            mGate.recordSpeed(700, 290 * MILLI);
            assertThat(mGate.updateQueue(290 * MILLI).admitted()).hasSize(1);
        }
    }

    @Group
    class Rates {
        private final FleetBounds mBounds = new FleetBounds(1.5, 5, 0.2, 10_000, 50, 60);

        private int admittedInOneSecond(final GateAdmission gate) {
            return admittedInOneSecond(gate, now -> {});
        }

        private int admittedInOneSecond(final GateAdmission gate, final LongConsumer report) {
            return admittedInOneSecond(gate, WaitMode.AWAIT_SLOT, report);
        }

        /** Offers 100 calls in one second; the report is delivered before each of them. */
        private int admittedInOneSecond(
                final GateAdmission gate, final WaitMode waitMode, final LongConsumer report) {
            int admitted = 0;
            for (int i = 0; i < 100; i++) {
                final long now = i * 9 * MILLI;
                report.accept(now);
                final AdmissionRequest request =
                        new AdmissionRequest(
                                "c" + i, 0, 0, now + MILLI, now, now + 100 * MILLI, waitMode);
                if (gate.offer(request, now) instanceof AdmissionDecision.Admitted) {
                    admitted++;
                    gate.release(request.callId(), true, MILLI, now);
                }
            }
            return admitted;
        }

        @Example
        void shouldStayUnderTheAnnouncedRateWhenTheTargetIsCold() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(mBounds, 7.1);
            gate.setColdMillis(3_000, 0);
            assertThat(admittedInOneSecond(gate, WaitMode.AWAIT_SPEED, now -> {})).isEqualTo(7);
        }

        // Guards against: calls that every gate refuses while all targets are cold at once,
        // although
        // the fleet's bounds leave room.
        @Example
        void shouldAdmitTheFleetsOverageWhenOtherGatesHaveRefusedTheCall() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(mBounds, 7.1);
            gate.setColdMillis(3_000, 0);
            assertThat(admittedInOneSecond(gate)).isEqualTo(10);
        }

        // Guards against: an overage above 1 in the bounds of a fleet that has none.
        @Example
        void shouldKeepTheAnnouncedRateWhenTheFleetAllowsNoOverage() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(FleetBounds.DEFAULT, 7.1);
            gate.setColdMillis(3_000, 0);
            assertThat(admittedInOneSecond(gate)).isEqualTo(7);
        }

        @Example
        void shouldStayUnderTheFleetsBoundWhenTheTargetMayHaveTurnedCold() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(mBounds, 7.1);
            assertThat(admittedInOneSecond(gate)).isEqualTo(14);
        }

        @Example
        void shouldNotBoundTheRateWhileTheTargetIsKnownToBeWarm() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(mBounds, 7.1);
            assertThat(admittedInOneSecond(gate, now -> gate.setColdMillis(0, now))).isEqualTo(100);
        }

        @Example
        void shouldNotExceedTheBoundSinceTheLastReportWhenTheTargetTurnsCold() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            gate.setColdRateLimit(mBounds, 19);
            gate.setColdMillis(0, 0);
            final long coldFrom = 33 * 9 * MILLI;
            final LongConsumer report =
                    now -> {
                        if (now == coldFrom) {
                            gate.setColdMillis(3_000, now);
                        }
                    };
            assertThat(admittedInOneSecond(gate, report)).isLessThanOrEqualTo(33);
        }
    }

    @Group
    class ReportedLoad {
        @Example
        void shouldNotReportAShorterServiceTimeWhenTheTargetFailsFast() {
            final GateAdmission gate = GateAdmission.of(6, 6, 0);
            for (int i = 0; i < 50; i++) {
                gate.offer(request("ok" + i, 0, 100), 0);
                gate.release("ok" + i, true, 3 * MILLI, 0);
            }
            final long healthyMicros = gate.load().serviceMicros();
            for (int i = 0; i < 10; i++) {
                gate.offer(request("bad" + i, 0, 100), 0);
                gate.release("bad" + i, false, MILLI / 10, 0);
            }
            assertThat(gate.load().serviceMicros()).isGreaterThan(2 * healthyMicros);
        }
    }

    @Group
    class Cold {
        @Example
        void shouldHoldTheColdConcurrencyWhenTheWarmUpIsNotOver() {
            final ColdStart cold = ColdStart.of(6, 2, 10);
            for (int i = 0; i < 10; i++) {
                cold.recordCompletion(true, MILLI);
            }
            assertThat(cold.allowance()).isEqualTo(2);
            cold.recordCompletion(true, MILLI);
            cold.recordCompletion(true, MILLI);
            assertThat(cold.allowance()).isEqualTo(3);
        }

        @Example
        void shouldReturnToTheColdConcurrencyWhenServiceTimesJump() {
            final ColdStart cold = warm();
            for (int i = 0; i < ColdStart.SLOW_BURST; i++) {
                cold.recordCompletion(true, 10 * MILLI);
            }
            assertThat(cold.allowance()).isEqualTo(1);
            assertThat(cold.coldResets()).isEqualTo(1);
        }

        @Example
        void shouldReturnToTheColdConcurrencyWhenFailuresAreConsecutive() {
            final ColdStart cold = warm();
            for (int i = 0; i < ColdStart.FAILURE_BURST; i++) {
                cold.recordCompletion(false, MILLI);
            }
            assertThat(cold.allowance()).isEqualTo(1);
        }

        private ColdStart warm() {
            final ColdStart cold = ColdStart.of(6, 1, 0);
            for (int i = 0; i < 100; i++) {
                cold.recordCompletion(true, MILLI);
            }
            assertThat(cold.allowance()).isEqualTo(6);
            return cold;
        }
    }
}
