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

    // Guards against: a call that crashes each of its targets reaches another one each time that
    // its quarantine is over, as often as it is sent (BUDGET).
    @Test
    void shouldReachThreeTargetsInFiveMinutesAtMostAfterItsThirdCrash() {
        mQuarantine.recordCrash(1, "a", 0);
        mQuarantine.recordCrash(1, "b", 0);
        mQuarantine.recordCrash(1, "c", 0);
        int reached = 0;
        for (long second = 1; second < 300; second++) {
            if (!mQuarantine.isBlocked(1, second * SECOND)) {
                reached++;
                mQuarantine.recordCrash(1, "later " + reached, second * SECOND);
            }
        }
        assertThat(reached).isLessThanOrEqualTo(3);
    }

    // Guards against: targets that fail together make a call that was in service at several of
    // them by coincidence stay refused for long.
    @Test
    void shouldNotBeRefusedLongerWhenMoreTargetsCrashAtOnce() {
        for (int i = 0; i < 10; i++) {
            mQuarantine.recordCrash(1, "process " + i, 0);
        }
        assertThat(mQuarantine.isBlocked(1, 21 * SECOND)).isFalse();
    }

    @Test
    void shouldForgetACallWhenItsLongerQuarantineIsOver() {
        mQuarantine.recordCrash(1, "a", 0);
        mQuarantine.recordCrash(1, "b", 0);
        mQuarantine.recordCrash(1, "c", 0);
        mQuarantine.recordCrash(1, "d", 30 * SECOND);
        assertThat(mQuarantine.isBlocked(1, 69 * SECOND)).isTrue();
        assertThat(mQuarantine.isBlocked(1, 71 * SECOND)).isFalse();
        mQuarantine.recordCrash(2, "other", 111 * SECOND);
        mQuarantine.recordCrash(1, "a", 112 * SECOND);
        assertThat(mQuarantine.isBlocked(1, 112 * SECOND)).isFalse();
    }

    @Test
    void shouldForgetCrashesWhenTheRetentionHasPassed() {
        mQuarantine.recordCrash(1, "a", 0);
        mQuarantine.recordCrash(1, "b", 0);
        mQuarantine.recordCrash(1, "c", 40 * SECOND);
        assertThat(mQuarantine.isBlocked(1, 40 * SECOND)).isFalse();
    }
}
