package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.AnswerHead;
import io.bilberrylane.peer.Identity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Plays many gates that get the same keys against one faulty platform. */
final class KeyDeskTest {
    private static final int GATES = 3;
    private static final int KEYS = 2;
    private static final long WINDOW_NANOS = Long.MAX_VALUE / 4;
    private static final int STEPS = Integer.getInteger("bilberrylane.soak.steps", 300);

    /** What a call at a gate has come to. */
    private enum Stage {
        DECIDING,
        HELD,
        RUNNING,
        OVER
    }

    private static final class Call implements KeyedCall {
        private final KeyDesk mDesk;
        private final String mKey;
        private Stage mStage = Stage.DECIDING;
        private Optional<KeptAnswer> mAnswer = Optional.empty();
        private boolean mUnknown;
        private ErrorCode mRefusal;

        Call(final KeyDesk desk, final String key) {
            mDesk = desk;
            mKey = key;
        }

        @Override
        public void onKeyHeld() {
            mStage = Stage.HELD;
        }

        @Override
        public void onKeyAnswered(final KeptAnswer answer) {
            mStage = Stage.OVER;
            mAnswer = Optional.of(answer);
        }

        @Override
        public void onKeyRefused(final ErrorCode code, final String holder) {
            mStage = Stage.OVER;
            mRefusal = code;
        }

        @Override
        public void onKeyUnknown() {
            mStage = Stage.OVER;
            mUnknown = true;
        }
    }

    private static final class World {
        private final Random mRandom;
        private final FaultyStore mStore;
        private final KeyDesk[] mDesks = new KeyDesk[GATES];
        private final List<Call> mCalls = new ArrayList<>();
        private final Map<String, Integer> mStarts = new HashMap<>();
        private final Map<String, String> mAnswers = new HashMap<>();
        private long mIncarnation;

        World(final long seed, final double faults) {
            mRandom = new Random(seed);
            mStore = new FaultyStore(mRandom, faults);
            for (int gate = 0; gate < GATES; gate++) {
                crash(gate);
            }
        }

        void crash(final int gate) {
            final KeyDesk old = mDesks[gate];
            mCalls.removeIf(call -> call.mDesk == old);
            final Identity identity = new Identity("host-" + gate, "dc", ++mIncarnation);
            mDesks[gate] = new KeyDesk(new ClaimStore(identity, mStore));
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
            final Call call = new Call(mDesks[mRandom.nextInt(GATES)], key);
            mCalls.add(call);
            call.mDesk.begin(key, "POST /x 1", WINDOW_NANOS, call);
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
                call.mStage = Stage.OVER;
                call.mDesk.release(call.mKey);
            } else if (call.mDesk.start(call.mKey)) {
                call.mStage = Stage.RUNNING;
                assertThat(mStarts.merge(call.mKey, 1, Integer::sum)).as(call.mKey).isEqualTo(1);
            }
        }

        private void advanceRunning(final Call call) {
            call.mStage = Stage.OVER;
            if (mRandom.nextInt(4) == 0) {
                call.mDesk.breakOff(call.mKey);
                return;
            }
            final KeptAnswer answer =
                    KeptAnswer.of(AnswerHead.of(200, List.of()), call.mKey.getBytes(), "digest");
            mAnswers.put(call.mKey, answer.body());
            call.mDesk.finish(call.mKey, "POST /x 1", Optional.of(answer));
        }

        void settle() {
            mStore.setDown(false);
            for (int i = 0; i < 10_000 && !mStore.isIdle(); i++) {
                mStore.step();
            }
        }

        void checkAnswers() {
            for (final Call call : mCalls) {
                call.mAnswer.ifPresent(
                        answer -> assertThat(answer.body()).isEqualTo(mAnswers.get(call.mKey)));
            }
        }
    }

    @Property(seed = "51", tries = 3_000)
    void shouldStartEachKeyAtMostOnceWhenGatesCrashAndThePlatformFails(@ForAll final long seed) {
        final World world = new World(seed, 0.3);
        for (int i = 0; i < STEPS; i++) {
            world.step();
        }
        world.settle();
        assertThat(world.mStarts.values()).allMatch(starts -> starts == 1);
        world.checkAnswers();
    }

    @Property(seed = "52", tries = 300)
    void shouldReplayTheFirstAnswerWhenNothingFails(@ForAll final long seed) {
        final World world = new World(seed, 0);
        final Call first = world.send("key-0");
        world.settle();
        assertThat(first.mStage).isEqualTo(Stage.HELD);
        assertThat(first.mDesk.start("key-0")).isTrue();
        final KeptAnswer answer =
                KeptAnswer.of(AnswerHead.of(200, List.of()), "a".getBytes(), "digest");
        first.mDesk.finish("key-0", "POST /x 1", Optional.of(answer));
        world.settle();
        for (int i = 0; i < 5; i++) {
            final Call again = world.send("key-0");
            world.settle();
            assertThat(again.mAnswer).contains(answer);
        }
    }

    @Property(seed = "53", tries = 300)
    void shouldLetAReleasedKeyRunElsewhereWhenItWasNotStarted(@ForAll final long seed) {
        final World world = new World(seed, 0);
        final Call first = world.send("key-0");
        world.settle();
        first.mDesk.release("key-0");
        world.settle();
        final Call second = world.send("key-0");
        world.settle();
        assertThat(second.mStage).isEqualTo(Stage.HELD);
        assertThat(second.mDesk.start("key-0")).isTrue();
    }
}
