package io.bilberrylane.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class CallTableTest {
    private static final long RETENTION_NANOS = 1_000;

    private final CallTable mTable = CallTable.of(RETENTION_NANOS);

    @Example
    void shouldRejectACallWhenItsOutcomeWasQueriedBeforeItArrived() {
        assertThat(mTable.resolve("a", 0)).isEqualTo(CallPhase.NEVER);
        assertThat(mTable.reserve("a", 1)).isFalse();
    }

    @Example
    void shouldRejectTheStartWhenTheOutcomeWasQueriedAfterTheReservation() {
        assertThat(mTable.reserve("a", 0)).isTrue();
        assertThat(mTable.resolve("a", 1)).isEqualTo(CallPhase.REFUSED);
        assertThat(mTable.start("a", 2)).isFalse();
    }

    @Example
    void shouldReportTheRunWhenItStartedBeforeTheQuery() {
        mTable.reserve("a", 0);
        assertThat(mTable.start("a", 1)).isTrue();
        assertThat(mTable.resolve("a", 2)).isEqualTo(CallPhase.STARTED);
        assertThat(mTable.refuse("a", 3)).isFalse();
        assertThat(mTable.finish("a", 4)).isTrue();
        assertThat(mTable.resolve("a", 5)).isEqualTo(CallPhase.FINISHED);
    }

    @Example
    void shouldForgetTerminalCallsWhenTheRetentionHasPassed() {
        mTable.resolve("a", 0);
        mTable.resolve("b", RETENTION_NANOS + 1);
        assertThat(mTable.size()).isEqualTo(1);
    }

    /**
     * In any interleaving of events, a call reported as not run never starts later, and no call
     * starts twice.
     */
    @Property(seed = "31", tries = 1_000)
    void shouldNeverStartACallThatWasReportedAsNotRun(@ForAll final long seed) {
        final Random random = new Random(seed);
        final Set<String> reportedNotRun = new HashSet<>();
        final Map<String, Integer> starts = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            final String id = "c" + random.nextInt(5);
            switch (random.nextInt(5)) {
                case 0 -> mTable.reserve(id, step);
                case 1 -> {
                    if (mTable.start(id, step)) {
                        assertThat(reportedNotRun).doesNotContain(id);
                        assertThat(starts.merge(id, 1, Integer::sum)).isEqualTo(1);
                    }
                }
                case 2 -> mTable.finish(id, step);
                case 3 -> {
                    if (mTable.refuse(id, step)) {
                        reportedNotRun.add(id);
                    }
                }
                default -> {
                    if (mTable.resolve(id, step).isNotRun()) {
                        reportedNotRun.add(id);
                        assertThat(starts).doesNotContainKey(id);
                    }
                }
            }
        }
    }
}
