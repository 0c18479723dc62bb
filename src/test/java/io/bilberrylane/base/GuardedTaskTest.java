package io.bilberrylane.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GuardedTaskTest {
    private static void runAndExpectOneFailure(final Error error, final RuntimeException other) {
        final long before = GuardedTask.failures();
        final GuardedTask task =
                GuardedTask.of(
                        "test",
                        () -> {
                            if (error != null) {
                                throw error;
                            }
                            throw other;
                        });
        assertThatCode(task::run).doesNotThrowAnyException();
        assertThat(GuardedTask.failures()).isEqualTo(before + 1);
    }

    @Test
    void shouldCountAndNotThrowWhenTheActionFails() {
        runAndExpectOneFailure(null, new IllegalStateException("expected by this test"));
        runAndExpectOneFailure(new AssertionError("expected by this test"), null);
        runAndExpectOneFailure(new StackOverflowError("expected by this test"), null);
    }

    @Test
    void shouldRecurWhenARunFails() throws Exception {
        final CountDownLatch runs = new CountDownLatch(3);
        final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            executor.scheduleAtFixedRate(
                    GuardedTask.of(
                            "test",
                            () -> {
                                runs.countDown();
                                throw new IllegalStateException("expected by this test");
                            }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            executor.shutdownNow();
            // A run that ends later would be counted in the other test.
            assertThat(executor.awaitTermination(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}
