package io.bilberrylane.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrylane.soak.SoakStep.Action;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class SoakPlanTest {
    private static final int SECONDS = 20;

    @Example
    void shouldGenerateSamePlanWhenSeedIsSame() {
        assertThat(SoakPlan.of(7, 6, SECONDS)).isEqualTo(SoakPlan.of(7, 6, SECONDS));
        assertThat(SoakPlan.of(7, 6, SECONDS)).isNotEqualTo(SoakPlan.of(8, 6, SECONDS));
    }

    @Example
    void shouldRejectFleetWhenItHasFewerThanThreeHosts() {
        assertThatThrownBy(() -> SoakPlan.of(1, 2, SECONDS))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Every fault is cleared at the end, and at most a third of the nodes is unavailable. */
    @Property(seed = "71", tries = 300)
    void shouldEndEachFaultWithinThePlan(
            @ForAll final long seed, @ForAll @IntRange(min = 3, max = 40) final int hostCount) {
        final List<SoakStep> steps = SoakPlan.of(seed, hostCount, SECONDS);
        final Set<Integer> unavailableHosts = new HashSet<>();
        final Map<String, String> platformFaults = new HashMap<>();
        for (final SoakStep step : steps) {
            assertThat(step.atMillis()).isBetween(0L, SECONDS * 1_000L);
            assertThat(step.host()).isBetween(0, hostCount);
            switch (step.action()) {
                case NODE_KILL, NODE_PAUSE, NODE_LEAVE ->
                        assertThat(unavailableHosts.add(step.host())).isTrue();
                case NODE_START, NODE_RESUME ->
                        assertThat(unavailableHosts.remove(step.host())).isTrue();
                case PLATFORM_FAULT -> platformFaults.put(step.action().wireName(), step.value());
                default -> {}
            }
            assertThat(unavailableHosts.size()).isLessThanOrEqualTo(Math.max(1, hostCount / 3));
        }
        assertThat(unavailableHosts).isEmpty();
        assertThat(platformFaults.values()).allMatch(value -> value.equals("{}"));
        assertThat(steps.stream().filter(s -> s.action() == Action.TAKE_OUT).count())
                .isEqualTo(steps.stream().filter(s -> s.action() == Action.TAKE_BACK).count());
    }
}
