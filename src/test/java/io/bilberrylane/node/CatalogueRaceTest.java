package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.ctl.CatalogueStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Operators change the catalogue concurrently while the platform loses responses. */
final class CatalogueRaceTest {
    private static final int CHANGES = 12;

    private final List<String> mAccepted = new ArrayList<>();
    private final List<String> mRejected = new ArrayList<>();
    private int mNextChange;

    private void change(final CatalogueStore store) {
        final String text = "change-" + mNextChange++;
        try {
            store.apply(text, "operator", -1);
            mAccepted.add(text);
        } catch (BilberrylaneException e) {
            assertThat(e.code()).isIn(ErrorCode.PLATFORM_CONFLICT, ErrorCode.PLATFORM_UNAVAILABLE);
            if (e.getMessage().contains("nothing was changed")
                    || e.getMessage().contains("was not accepted")) {
                mRejected.add(text);
            }
        }
    }

    /**
     * Guards against a change that is accepted but lost, applied twice, or applied though rejected.
     */
    @Property(seed = "61", tries = 1_000)
    void shouldAcceptEachChangeOnceWhenOperatorsRaceAndAnswersAreLost(@ForAll final long seed) {
        mAccepted.clear();
        mRejected.clear();
        final Random random = new Random(seed);
        final FaultyStore platform = new FaultyStore(random, 0.3);
        final CatalogueStore store = CatalogueStore.of(platform);
        final int[] depth = {0};
        platform.answerImmediately(
                () -> {
                    if (depth[0] == 0 && random.nextInt(4) == 0) {
                        depth[0]++;
                        change(store);
                        depth[0]--;
                    }
                });
        for (int i = 0; i < CHANGES; i++) {
            change(store);
        }
        final List<ConfigurationDocument> history =
                platform.history().stream()
                        .map(object -> ConfigurationDocument.read(object.spec()))
                        .toList();
        for (int i = 0; i < history.size(); i++) {
            assertThat(history.get(i).revision()).isEqualTo(i + 1);
        }
        final List<String> texts = history.stream().map(ConfigurationDocument::text).toList();
        assertThat(texts).doesNotHaveDuplicates().containsAll(mAccepted);
        assertThat(texts)
                .doesNotContainAnyElementsOf(mRejected.isEmpty() ? List.of("none") : mRejected);
    }
}
