package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.ResponseHead;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Simulates several gates that receive the same keys and share one platform that fails at random.
 */
final class KeyCoordinatorTest {
    private static final int GATES = 3;
    private static final int KEYS = 2;
    private static final long WINDOW_NANOS = Long.MAX_VALUE / 4;
    private static final int STEPS = Integer.getInteger("bilberrylane.soak.steps", 300);

    /** The stage of a call at a gate. */
    private enum Stage {
        DECIDING,
        HELD,
        RUNNING,
        ENDED
    }

    private static final class Call implements KeyedCall {
        private final KeyCoordinator mCoordinator;
        private final String mKey;
        private Stage mStage = Stage.DECIDING;
        private Optional<StoredResponse> mResponse = Optional.empty();
        private boolean mOutcomeUnknown;
        private ErrorCode mRefusal;

        Call(final KeyCoordinator coordinator, final String key) {
            mCoordinator = coordinator;
            mKey = key;
        }

        @Override
        public void onKeyAcquired() {
            mStage = Stage.HELD;
        }

        @Override
        public void onKeyReplayed(final StoredResponse response) {
            mStage = Stage.ENDED;
            mResponse = Optional.of(response);
        }

        @Override
        public void onKeyRefused(final ErrorCode code, final String holder) {
            mStage = Stage.ENDED;
            mRefusal = code;
        }

        @Override
        public void onKeyOutcomeUnknown() {
            mStage = Stage.ENDED;
            mOutcomeUnknown = true;
        }
    }

    private static final class Simulation {
        private final Random mRandom;
        private final FaultyStore mStore;
        private final KeyCoordinator[] mCoordinators = new KeyCoordinator[GATES];
        private final List<Call> mCalls = new ArrayList<>();
        private final Map<String, Integer> mStarts = new HashMap<>();
        private final Map<String, String> mResponses = new HashMap<>();
        private long mIncarnation;

        Simulation(final long seed, final double faultProbability) {
            mRandom = new Random(seed);
            mStore = new FaultyStore(mRandom, faultProbability);
            for (int gate = 0; gate < GATES; gate++) {
                crash(gate);
            }
        }

        void crash(final int gate) {
            final KeyCoordinator old = mCoordinators[gate];
            mCalls.removeIf(call -> call.mCoordinator == old);
            final NodeIdentity identity = new NodeIdentity("host-" + gate, "dc", ++mIncarnation);
            mCoordinators[gate] = new KeyCoordinator(new ClaimStore(identity, mStore));
        }

        void step() {
            mStore.step();
            switch (mRandom.nextInt(12)) {
                case 0, 1 -> send("key-" + mRandom.nextInt(KEYS));
                case 2, 3, 4 -> advance();
                case 5 -> {
                    if (mRandom.nextInt(40) == 0) {
                        crash(mRandom.nextInt(GATES));
                    }
                }
                case 6 -> {
                    if (mRandom.nextInt(20) == 0) {
                        mStore.setDown(mRandom.nextBoolean());
                    }
                }
                default -> mStore.step();
            }
        }

        Call send(final String key) {
            final Call call = new Call(mCoordinators[mRandom.nextInt(GATES)], key);
            mCalls.add(call);
            call.mCoordinator.begin(key, "POST /x 1", WINDOW_NANOS, call);
            return call;
        }

        private void advance() {
            if (mCalls.isEmpty()) {
                return;
            }
            final Call call = mCalls.get(mRandom.nextInt(mCalls.size()));
            if (call.mStage == Stage.HELD) {
                advanceHeld(call);
            } else if (call.mStage == Stage.RUNNING) {
                advanceRunning(call);
            }
        }

        private void advanceHeld(final Call call) {
            if (mRandom.nextInt(3) == 0) {
                call.mStage = Stage.ENDED;
                call.mCoordinator.release(call.mKey);
            } else if (call.mCoordinator.start(call.mKey)) {
                call.mStage = Stage.RUNNING;
                assertThat(mStarts.merge(call.mKey, 1, Integer::sum)).as(call.mKey).isEqualTo(1);
            }
        }

        private void advanceRunning(final Call call) {
            call.mStage = Stage.ENDED;
            if (mRandom.nextInt(4) == 0) {
                call.mCoordinator.markOutcomeUnknown(call.mKey);
                return;
            }
            final StoredResponse response =
                    StoredResponse.of(
                            ResponseHead.of(200, List.of()), call.mKey.getBytes(), "digest");
            mResponses.put(call.mKey, response.body());
            call.mCoordinator.finish(call.mKey, "POST /x 1", Optional.of(response));
        }

        void settle() {
            mStore.setDown(false);
            for (int i = 0; i < 10_000 && !mStore.isIdle(); i++) {
                mStore.step();
            }
        }

        void checkResponses() {
            for (final Call call : mCalls) {
                call.mResponse.ifPresent(
                        response ->
                                assertThat(response.body()).isEqualTo(mResponses.get(call.mKey)));
            }
        }
    }

    @Property(seed = "51", tries = 3_000)
    void shouldStartEachKeyAtMostOnceWhenGatesCrashAndThePlatformFails(@ForAll final long seed) {
        final Simulation simulation = new Simulation(seed, 0.3);
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        simulation.settle();
        assertThat(simulation.mStarts.values()).allMatch(starts -> starts == 1);
        simulation.checkResponses();
    }

    @Property(seed = "52", tries = 300)
    void shouldReplayTheFirstResponseWhenNothingFails(@ForAll final long seed) {
        final Simulation simulation = new Simulation(seed, 0);
        final Call first = simulation.send("key-0");
        simulation.settle();
        assertThat(first.mStage).isEqualTo(Stage.HELD);
        assertThat(first.mCoordinator.start("key-0")).isTrue();
        final StoredResponse response =
                StoredResponse.of(ResponseHead.of(200, List.of()), "a".getBytes(), "digest");
        first.mCoordinator.finish("key-0", "POST /x 1", Optional.of(response));
        simulation.settle();
        for (int i = 0; i < 5; i++) {
            final Call resent = simulation.send("key-0");
            simulation.settle();
            assertThat(resent.mResponse).contains(response);
        }
    }

    @Property(seed = "53", tries = 300)
    void shouldLetAReleasedKeyRunElsewhereWhenItWasNotStarted(@ForAll final long seed) {
        final Simulation simulation = new Simulation(seed, 0);
        final Call first = simulation.send("key-0");
        simulation.settle();
        first.mCoordinator.release("key-0");
        simulation.settle();
        final Call second = simulation.send("key-0");
        simulation.settle();
        assertThat(second.mStage).isEqualTo(Stage.HELD);
        assertThat(second.mCoordinator.start("key-0")).isTrue();
    }
}
