package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A node leaves while callers keep sending requests. */
final class LeavingTest {
    private static final long SERVICE_MICROS = 700_000;
    private static final long CALL_INTERVAL_MILLIS = 100;
    private static final Set<Integer> ALLOWED_STATUSES = Set.of(200, 503);

    private static CompletableFuture<HttpReply> call(final Fleet fleet, final Node node) {
        return SimpleHttpClient.of(fleet.mTransport)
                .call(node.callerAddress(), HttpMethod.GET, "/", "", 4_000, "calendar");
    }

    /** Returns the status of a response, or 0 if the node no longer accepted connections. */
    private static int statusOf(final CompletableFuture<HttpReply> call) {
        try {
            return call.join().status();
        } catch (CompletionException e) {
            assertThat(e.getCause()).isInstanceOf(ConnectException.class);
            return 0;
        }
    }

    @Test
    void shouldCutNoCallWhenCallersGoOnSendingUntilItIsGone() throws Exception {
        try (Fleet fleet = Fleet.of(2, SERVICE_MICROS)) {
            final Node leaving = fleet.mNodes.get(0);
            final CompletableFuture<Void> left = CompletableFuture.runAsync(leaving::leave);
            final List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
            while (!left.isDone()) {
                calls.add(call(fleet, leaving));
                TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
            }
            final List<Integer> statuses = calls.stream().map(LeavingTest::statusOf).toList();
            assertThat(statuses).contains(200);
            assertThat(statuses)
                    .allMatch(status -> status == 0 || ALLOWED_STATUSES.contains(status));
        }
    }

    @Test
    void shouldReportNotReadyWhenTheLeaveStarts() throws Exception {
        try (Fleet fleet = Fleet.of(1, 1_000)) {
            final Node leaving = fleet.mNodes.get(0);
            final CompletableFuture<Void> left = CompletableFuture.runAsync(leaving::leave);
            TimeUnit.MILLISECONDS.sleep(200);
            final HttpReply ready =
                    SimpleHttpClient.of(fleet.mTransport)
                            .call(leaving.operatorAddress(), HttpMethod.GET, "/readyz", "", 1_000)
                            .join();
            assertThat(ready.status()).isEqualTo(503);
            left.get(6, TimeUnit.SECONDS);
        }
    }
}
