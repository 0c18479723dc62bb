package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that reach a leaving node late, while earlier ones keep it busy. */
final class LateRequestTest {
    private static final long BUSY_MILLIS = PlatformNode.DRAIN_MILLIS * 2 / 3;
    private static final long LATE_MILLIS = PlatformNode.DRAIN_MILLIS * 9 / 20;
    private static final long LONG_MILLIS = PlatformNode.DRAIN_MILLIS * 5 / 6;

    private final Set<String> mRuns = ConcurrentHashMap.newKeySet();
    private PlatformTarget mTarget;
    private PlatformNode mFleet;
    private Node mIngress;

    @BeforeEach
    void start() throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            mRuns.add(request.id());
                            TimeUnit.MILLISECONDS.sleep(millisOf(request.id()));
                            request.answer("whole");
                        });
        mFleet = PlatformNode.beside(mTarget);
        mIngress = mFleet.startIngress();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    private static long millisOf(final String id) {
        return switch (id) {
            case "busy" -> BUSY_MILLIS;
            case "long" -> LONG_MILLIS;
            default -> 50;
        };
    }

    private CompletableFuture<String> send(final String id, final long deadlineMillis) {
        final String request =
                PlatformNode.request("POST", "/unsafe/" + id, id)
                        .replace("Deadline-Ms: 4000", "Deadline-Ms: " + deadlineMillis);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return PlatformNode.exchange(mIngress, request);
                    } catch (IOException e) {
                        return "cut: " + e;
                    }
                });
    }

    // Guards against: a request that comes late in the drain is passed on to a target and cut
    // without an answer when the node ends.
    @Test
    void shouldNotTakeARequestThatMayOutliveTheNode() throws Exception {
        final CompletableFuture<String> busy = send("busy", 4_000);
        Fleet.await(() -> mRuns.contains("busy"));
        final CompletableFuture<Void> left = CompletableFuture.runAsync(mIngress::leave);
        TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        final CompletableFuture<String> late = send("long", 4_000);
        final CompletableFuture<String> shortOne = send("short", 800);
        assertThat(late.join()).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
        assertThat(mRuns).doesNotContain("long");
        assertThat(shortOne.join()).startsWith("HTTP/1.1 200").contains("whole");
        assertThat(busy.join()).startsWith("HTTP/1.1 200").contains("whole");
        left.join();
    }

    @Test
    void shouldEndWithinTheDrainTimeWhenARequestLastsLonger() throws Exception {
        final long startNanos = System.nanoTime();
        final CompletableFuture<Void> left = CompletableFuture.runAsync(mIngress::leave);
        TimeUnit.MILLISECONDS.sleep(PlatformNode.DRAIN_MILLIS / 4);
        final CompletableFuture<String> cut = send("long", 4_000);
        left.join();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(PlatformNode.DRAIN_MILLIS);
        assertThat(cut.join()).doesNotStartWith("HTTP/1.1 503");
    }
}
