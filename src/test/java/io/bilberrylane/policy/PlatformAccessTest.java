package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlatformAccessTest {
    private static final long SECOND_MILLIS = 1_000;

    private final PlatformAccess mAccess = PlatformAccess.untried();

    @Nested
    final class Failure {
        // Guards against: each connection that is cut makes another node the watcher.
        @Test
        void shouldBeReadableAfterOneFailure() {
            mAccess.recordFailure();
            assertThat(mAccess.isReadable()).isTrue();
            mAccess.recordAnswer();
            mAccess.recordFailure();
            assertThat(mAccess.isReadable()).isTrue();
        }

        @Test
        void shouldNotBeReadableAfterTwoFailuresOneSoonAfterTheOther() {
            final long usualMillis = mAccess.probeDelayMillis();
            mAccess.recordFailure();
            assertThat(mAccess.probeDelayMillis()).isLessThan(usualMillis / 2);
            mAccess.recordFailure();
            assertThat(mAccess.isReadable()).isFalse();
        }
    }

    @Nested
    final class Silence {
        @Test
        void shouldNotBeReadableWhenAProbeIsNotAnswered() {
            mAccess.recordSilence();
            assertThat(mAccess.isReadable()).isFalse();
        }
    }

    @Nested
    final class Recovery {
        // Guards against: a node that the platform answers now and then becomes a watcher each
        // time.
        @Test
        void shouldBeReadableAgainAfterTwoAnswersInSuccession() {
            mAccess.recordSilence();
            mAccess.recordAnswer();
            mAccess.recordFailure();
            mAccess.recordAnswer();
            assertThat(mAccess.isReadable()).isFalse();
            mAccess.recordAnswer();
            assertThat(mAccess.isReadable()).isTrue();
        }

        @Test
        void shouldProbeLessOftenWhileNotReadable() {
            mAccess.recordSilence();
            assertThat(mAccess.probeDelayMillis()).isGreaterThanOrEqualTo(SECOND_MILLIS);
        }
    }
}
