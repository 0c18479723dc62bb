package io.bilberrylane.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RankedLockTest {
    private final RankedLock mLow = RankedLock.of(LockRank.CONFIGURATION);
    private final RankedLock mHigh = RankedLock.of(LockRank.PEER_LINKS);

    @Test
    void shouldAcquireLocksWhenRanksAscend() {
        assertThat(mLow.<Integer>get(() -> mHigh.get(() -> 1))).isEqualTo(1);
    }

    @Test
    void shouldFailWhenALowerRankIsAcquiredUnderAHigherOne() {
        assertThatThrownBy(() -> mHigh.run(() -> mLow.run(() -> {})))
                .isInstanceOf(BilberrylaneException.class)
                .hasMessageContaining("CONFIGURATION taken while holding PEER_LINKS");
        assertThat(mLow.<Integer>get(() -> 2)).isEqualTo(2);
    }

    @Test
    void shouldCloseAllResourcesInReverseOrderWhenOneFails() {
        final List<String> closed = new ArrayList<>();
        try (ResourceCloser closer = ResourceCloser.empty()) {
            closer.add(() -> closed.add("first"));
            closer.add(
                    () -> {
                        throw new IllegalStateException("failure on close");
                    });
            closer.add(() -> closed.add("last"));
        }
        assertThat(closed).containsExactly("last", "first");
    }
}
