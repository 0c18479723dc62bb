package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Random schedules of events around calls at an ingress. The system property {@code call.schedules}
 * sets how many, {@code call.seed} where their seeds begin.
 */
final class CallScheduleTest {
    private static final int SCHEDULES = Integer.getInteger("call.schedules", 1_000);
    private static final int FIRST_SEED = Integer.getInteger("call.seed", 1);
    private static final int MAX_EVENTS = 40;

    // Guards against: bytes of two responses to one call, a second run, an untrue refusal, or an
    // attempt, token or buffer that is left over, whatever happens in whichever order.
    @Test
    void shouldKeepItsPromisesInEachSchedule() {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final CallKind kind = CallKind.of(random);
            final List<Integer> choices =
                    random.ints(1 + random.nextInt(MAX_EVENTS), 0, Integer.MAX_VALUE)
                            .boxed()
                            .toList();
            if (CallSchedule.play(kind, choices).isPresent()) {
                final Optional<String> failure = CallSchedule.play(kind, shortest(kind, choices));
                assertThat(failure).as("schedule of seed " + seed).isEmpty();
            }
        }
    }

    /** Returns a schedule that still fails, from which no event can be left out. */
    private static List<Integer> shortest(final CallKind kind, final List<Integer> failing) {
        List<Integer> shortest = failing;
        for (int i = 0; i < shortest.size(); ) {
            final List<Integer> shorter = new ArrayList<>(shortest);
            shorter.remove(i);
            if (CallSchedule.play(kind, shorter).isPresent()) {
                shortest = shorter;
                i = 0;
            } else {
                i++;
            }
        }
        return shortest;
    }
}
