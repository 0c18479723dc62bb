package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class QuarantineTest {
    private static final long SECOND = 1_000_000_000L;

    private final Quarantine mQuarantine = Quarantine.empty();

    @Test
    void shouldBlockACallWhenItWasInServiceDuringThreeCrashes() {
        assertThat(mQuarantine.recordCrash(1, "a", 0)).isFalse();
        assertThat(mQuarantine.recordCrash(1, "b", SECOND)).isFalse();
        assertThat(mQuarantine.isBlocked(1, SECOND)).isFalse();
        assertThat(mQuarantine.recordCrash(1, "c", 2 * SECOND)).isTrue();
        assertThat(mQuarantine.isBlocked(1, 2 * SECOND)).isTrue();
        assertThat(mQuarantine.isBlocked(2, 2 * SECOND)).isFalse();
    }

    @Test
    void shouldCountOneCrashOnceWhenSeveralNodesReportIt() {
        for (int i = 0; i < 5; i++) {
            mQuarantine.recordCrash(1, "a", 0);
        }
        assertThat(mQuarantine.isBlocked(1, 0)).isFalse();
    }

    @Test
    void shouldReleaseACallWhenItsQuarantineIsOver() {
        mQuarantine.recordCrash(1, "a", 0);
        mQuarantine.recordCrash(1, "b", 0);
        mQuarantine.recordCrash(1, "c", 0);
        assertThat(mQuarantine.isBlocked(1, 19 * SECOND)).isTrue();
        assertThat(mQuarantine.isBlocked(1, 21 * SECOND)).isFalse();
    }

    @Test
    void shouldForgetCrashesWhenTheRetentionHasPassed() {
        mQuarantine.recordCrash(1, "a", 0);
        mQuarantine.recordCrash(1, "b", 0);
        mQuarantine.recordCrash(1, "c", 40 * SECOND);
        assertThat(mQuarantine.isBlocked(1, 40 * SECOND)).isFalse();
    }
}
