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
    private final Candidate mLocal = new Candidate("near", "dc", 6);
    private final Candidate mRemote = new Candidate("far", "other", 6);

    private Optional<Candidate> choose(
            final List<Candidate> candidates, final Set<String> excluded, final long nowNanos) {
        return mSelector.choose(candidates, excluded, SelectionCriteria.NONE, nowNanos);
    }

    private static TargetLoad load(final int inFlight, final boolean accepting) {
        return TargetLoad.of(inFlight, 0, 6, 3_000, accepting);
    }

    @Test
    void shouldChooseTheTargetAgainWhenItsRefusalIsOld() {
        mLoads.recordLoad("near", 0, load(0, false), 0);
        assertThat(choose(List.of(mLocal), Set.of(), SECOND / 2)).isEmpty();
        assertThat(choose(List.of(mLocal), Set.of(), 2 * SECOND)).contains(mLocal);
    }

    @Test
    void shouldChooseTheLocalTargetWhenBothAreIdle() {
        mLoads.recordLoad("near", 0, load(0, true), 0);
        mLoads.recordLoad("far", 0, load(0, true), 0);
        assertThat(choose(List.of(mLocal, mRemote), Set.of(), 0)).contains(mLocal);
    }

    @Test
    void shouldChooseTheRemoteTargetWhenTheLocalWaitIsLonger() {
        mLoads.recordLoad("near", 0, load(30, true), 0);
        mLoads.recordLoad("far", 0, load(0, true), 0);
        for (int i = 0; i < 20; i++) {
            choose(List.of(mLocal, mRemote), Set.of(), 0);
        }
        assertThat(mSelector.costMicros(mLocal, SelectionCriteria.NONE, 0))
                .isGreaterThan(mSelector.costMicros(mRemote, SelectionCriteria.NONE, 0));
        assertThat(choose(List.of(mLocal, mRemote), Set.of("near"), 0)).contains(mRemote);
    }

    @Test
    void shouldAvoidASlowTargetOnlyWhileTheReportIsRecent() {
        final Candidate other = new Candidate("other", "dc", 6);
        mLoads.recordLoad("near", 0, new TargetLoad(0, 0, 6, 3_000, true, 700, 0), 0);
        mLoads.recordLoad("other", 0, load(4, true), 0);
        assertThat(choose(List.of(mLocal, other), Set.of(), SECOND / 10)).contains(other);
        assertThat(mSelector.costMicros(mLocal, SelectionCriteria.NONE, 3 * SECOND))
                .isLessThan(mSelector.costMicros(other, SelectionCriteria.NONE, 3 * SECOND));
    }

    @Test
    void shouldStayInTheDataCentreWhenTheBodyIsLarge() {
        mLoads.recordLoad("near", 0, new TargetLoad(6, 9, 6, 3_000, true, 700, 0), 0);
        mLoads.recordLoad("far", 0, load(0, true), 0);
        final SelectionCriteria upload = new SelectionCriteria(0, 100_000, true, true);
        assertThat(mSelector.choose(List.of(mLocal, mRemote), Set.of(), upload, 0))
                .contains(mLocal);
        assertThat(mSelector.choose(List.of(mLocal, mRemote), Set.of("near"), upload, 0)).isEmpty();
        mLoads.recordLoad("near", 0, load(0, false), 0);
        assertThat(mSelector.choose(List.of(mLocal, mRemote), Set.of(), upload, 0))
                .contains(mRemote);
    }

    @Test
    void shouldCountCallsSentSinceTheLastLoadReport() {
        mLoads.recordLoad("near", 0, load(1, true), 0);
        mLoads.recordSent("near");
        mLoads.recordSent("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(3);
        mLoads.recordCompletion("near");
        assertThat(mLoads.estimate("near").orElseThrow().inFlight()).isEqualTo(2);
    }
}
