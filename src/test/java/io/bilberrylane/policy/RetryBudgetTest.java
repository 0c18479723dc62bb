package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final FleetBounds BOUNDS = new FleetBounds(1.5, 5, 0.2, 10_000, 60, 60);

    private final RetryBudget mBudget = RetryBudget.create();

    private int spend(final String service, final long nowNanos) {
        int granted = 0;
        while (mBudget.tryAcquire(service, BOUNDS, 10, nowNanos)) {
            granted++;
        }
        return granted;
    }

    @Test
    void shouldStayUnderTheFleetsBudgetWhenEveryIngressSpendsItsShare() {
        for (int i = 0; i < 100; i++) {
            mBudget.recordCall("s", BOUNDS, i);
        }
        final int granted = spend("s", 200);
        assertThat(granted).isPositive();
        assertThat(10 * granted).isLessThan((int) (0.2 * 10 * 100 + 60));
    }

    @Test
    void shouldGrantAgainWhenTheWindowHasPassed() {
        final int first = spend("s", 0);
        assertThat(first).isEqualTo(3);
        assertThat(spend("s", 9 * SECOND)).isZero();
        assertThat(spend("s", 11 * SECOND)).isEqualTo(first);
    }

    @Test
    void shouldCountEachServiceOnItsOwn() {
        spend("s", 0);
        assertThat(spend("t", 0)).isEqualTo(3);
    }
}
