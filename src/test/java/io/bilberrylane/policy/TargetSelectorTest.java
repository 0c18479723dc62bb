package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class TargetSelectorTest {
    private static final long SECOND = 1_000_000_000L;

    private final LoadTable mLoads = LoadTable.empty();
    private final TargetSelector mSelector = TargetSelector.of("dc", mLoads, new Random(1));
    private final Candidate mNear = new Candidate("near", "dc", 6);
    private final Candidate mFar = new Candidate("far", "other", 6);

    private static TargetLoad load(final int inFlight, final boolean accepting) {
        return new TargetLoad(inFlight, 0, 6, 3_000, accepting);
    }

    @Test
    void shouldChooseTheTargetAgainWhenItsRefusalIsOld() {
        mLoads.told("near", load(0, false), 0);
        assertThat(mSelector.choose(List.of(mNear), Set.of(), SECOND / 2)).isEmpty();
        assertThat(mSelector.choose(List.of(mNear), Set.of(), 2 * SECOND)).contains(mNear);
    }

    @Test
    void shouldStayNearWhenBothAreIdle() {
        mLoads.told("near", load(0, true), 0);
        mLoads.told("far", load(0, true), 0);
        assertThat(mSelector.choose(List.of(mNear, mFar), Set.of(), 0)).contains(mNear);
    }

    @Test
    void shouldGoFarWhenTheWaitNearIsLonger() {
        mLoads.told("near", load(30, true), 0);
        mLoads.told("far", load(0, true), 0);
        for (int i = 0; i < 20; i++) {
            mSelector.choose(List.of(mNear, mFar), Set.of(), 0);
        }
        assertThat(mSelector.costMicros(mNear)).isGreaterThan(mSelector.costMicros(mFar));
        assertThat(mSelector.choose(List.of(mNear, mFar), Set.of("near"), 0)).contains(mFar);
    }

    @Test
    void shouldCountCallsSentWhenTheLoadWasToldBefore() {
        mLoads.told("near", load(1, true), 0);
        mLoads.sent("near");
        mLoads.sent("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(3);
        mLoads.done("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(2);
    }
}
