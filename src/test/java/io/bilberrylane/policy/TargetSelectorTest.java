package io.bilberrylane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class TargetSelectorTest {
    private static final long SECOND = 1_000_000_000L;

    private final LoadTable mLoads = LoadTable.empty();
    private final TargetSelector mSelector = TargetSelector.of("dc", mLoads, new Random(1));
    private final Candidate mNear = new Candidate("near", "dc", 6);
    private final Candidate mFar = new Candidate("far", "other", 6);

    private Optional<Candidate> choose(
            final List<Candidate> candidates, final Set<String> excluded, final long nowNanos) {
        return mSelector.choose(candidates, excluded, CallNeed.NONE, nowNanos);
    }

    private static TargetLoad load(final int inFlight, final boolean accepting) {
        return TargetLoad.of(inFlight, 0, 6, 3_000, accepting);
    }

    @Test
    void shouldChooseTheTargetAgainWhenItsRefusalIsOld() {
        mLoads.told("near", 0, load(0, false), 0);
        assertThat(choose(List.of(mNear), Set.of(), SECOND / 2)).isEmpty();
        assertThat(choose(List.of(mNear), Set.of(), 2 * SECOND)).contains(mNear);
    }

    @Test
    void shouldStayNearWhenBothAreIdle() {
        mLoads.told("near", 0, load(0, true), 0);
        mLoads.told("far", 0, load(0, true), 0);
        assertThat(choose(List.of(mNear, mFar), Set.of(), 0)).contains(mNear);
    }

    @Test
    void shouldGoFarWhenTheWaitNearIsLonger() {
        mLoads.told("near", 0, load(30, true), 0);
        mLoads.told("far", 0, load(0, true), 0);
        for (int i = 0; i < 20; i++) {
            choose(List.of(mNear, mFar), Set.of(), 0);
        }
        assertThat(mSelector.costMicros(mNear, CallNeed.NONE, 0))
                .isGreaterThan(mSelector.costMicros(mFar, CallNeed.NONE, 0));
        assertThat(choose(List.of(mNear, mFar), Set.of("near"), 0)).contains(mFar);
    }

    @Test
    void shouldAvoidASlowTargetOnlyWhileTheNewsIsFresh() {
        final Candidate other = new Candidate("other", "dc", 6);
        mLoads.told("near", 0, new TargetLoad(0, 0, 6, 3_000, true, 700, 0), 0);
        mLoads.told("other", 0, load(4, true), 0);
        assertThat(choose(List.of(mNear, other), Set.of(), SECOND / 10)).contains(other);
        assertThat(mSelector.costMicros(mNear, CallNeed.NONE, 3 * SECOND))
                .isLessThan(mSelector.costMicros(other, CallNeed.NONE, 3 * SECOND));
    }

    @Test
    void shouldStayInTheDataCentreWhenTheBodyIsLong() {
        mLoads.told("near", 0, new TargetLoad(6, 9, 6, 3_000, true, 700, 0), 0);
        mLoads.told("far", 0, load(0, true), 0);
        final CallNeed upload = new CallNeed(0, 100_000, true, true);
        assertThat(mSelector.choose(List.of(mNear, mFar), Set.of(), upload, 0)).contains(mNear);
        assertThat(mSelector.choose(List.of(mNear, mFar), Set.of("near"), upload, 0)).isEmpty();
        mLoads.told("near", 0, load(0, false), 0);
        assertThat(mSelector.choose(List.of(mNear, mFar), Set.of(), upload, 0)).contains(mFar);
    }

    @Test
    void shouldCountCallsSentWhenTheLoadWasToldBefore() {
        mLoads.told("near", 0, load(1, true), 0);
        mLoads.sent("near");
        mLoads.sent("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(3);
        mLoads.done("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(2);
    }
}
