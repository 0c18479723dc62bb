package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.membership.Departure;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Processes of one host that keep departures in a store whose answers are late, lost or denied. */
final class DepartureStoreTest {
    private static final int STEPS = 60;
    private static final int MAX_SETTLE_STEPS = 400;
    private static final long MAX_WAIT_MILLIS = 400;

    /** One process: its departures in memory, and its store. */
    private static final class Process {
        private final EmbeddedChannel mChannel = new EmbeddedChannel();
        private final List<Departure> mDepartures = new ArrayList<>();
        private final DepartureStore mStore;

        private Process(final FaultyStore platform) {
            mChannel.freezeTime();
            final EventLoop loop = mChannel.eventLoop();
            mStore =
                    new DepartureStore(
                            loop, "h", platform, () -> List.copyOf(mDepartures), this::merge);
            mStore.start();
        }

        private void merge(final List<Departure> loaded) {
            for (final Departure departure : loaded) {
                if (!mDepartures.contains(departure)) {
                    mDepartures.add(departure);
                }
            }
        }

        private void run(final long millis) {
            mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
            mChannel.runPendingTasks();
        }
    }

    /** An acknowledgement that waits for the platform. */
    private record Saving(CompletableFuture<Void> stage, String id, long startMillis) {}

    /** Until an acknowledgement may give up waiting, it comes only when the platform has it. */
    private static void assertAcknowledgedTruly(
            final Saving saving, final FaultyStore platform, final long nowMillis) {
        if (saving.stage().isDone() && nowMillis - saving.startMillis() < MAX_WAIT_MILLIS) {
            assertThat(platform.history())
                    .anyMatch(object -> object.spec().toString().contains(saving.id()));
        }
    }

    private static void settle(final Process process, final FaultyStore platform) {
        for (int i = 0; i < MAX_SETTLE_STEPS && !process.mStore.isSaved(); i++) {
            platform.step();
            process.run(50);
        }
    }

    @Property(tries = 1_000, seed = "23")
    void shouldGiveEverySavedDepartureToTheNextProcess(@ForAll final long seed) {
        final Random random = new Random(seed);
        final FaultyStore platform = new FaultyStore(random, 0.4);
        Process process = new Process(platform);
        final Set<Departure> saved = new HashSet<>();
        final List<Saving> savings = new ArrayList<>();
        long nowMillis = 0;
        int count = 0;
        for (int i = 0; i < STEPS; i++) {
            switch (random.nextInt(12)) {
                case 0 -> {
                    final String id = "i-" + ++count + ";";
                    process.mDepartures.add(Departure.permanent(id, count));
                    savings.add(
                            new Saving(process.mStore.save().toCompletableFuture(), id, nowMillis));
                }
                case 1 -> {
                    if (process.mStore.isSaved()) {
                        saved.addAll(process.mDepartures);
                    }
                    process.mStore.stop();
                    process = new Process(platform);
                }
                default -> {
                    platform.step();
                    final int millis = random.nextInt(100);
                    process.run(millis);
                    nowMillis += millis;
                }
            }
            for (final Saving saving : savings) {
                assertAcknowledgedTruly(saving, platform, nowMillis);
            }
        }
        process.mDepartures.add(Departure.permanent("last", 1));
        process.mStore.save();
        settle(process, platform);
        assertThat(process.mStore.isSaved()).isTrue();
        assertThat(process.mDepartures).containsAll(saved);
    }
}
