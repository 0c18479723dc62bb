package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Callers that disconnect while their calls are in service and other calls wait for the slots. */
final class CallerDisconnectTest {
    private static final int SLOTS = 6;
    private static final int ROUNDS = 10;
    private static final long SERVICE_MICROS = 250_000;
    private static final long SHORT_TIMEOUT_MILLIS = 60;
    private static final long LONG_TIMEOUT_MILLIS = 3_000;

    private static CompletableFuture<HttpReply> call(final Fleet fleet, final long timeoutMillis) {
        return SimpleHttpClient.of(fleet.mTransport)
                .call(
                        fleet.mNodes.get(0).callerAddress(),
                        HttpMethod.GET,
                        "/",
                        "",
                        timeoutMillis,
                        "calendar");
    }

    /**
     * The next call must not take a slot before the target has noticed that the previous call
     * ended.
     */
    @Test
    void shouldNeverExceedTheSlotsWhenCallersDisconnect() {
        try (Fleet fleet = Fleet.of(1, SERVICE_MICROS)) {
            for (int round = 0; round < ROUNDS; round++) {
                final List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
                for (int i = 0; i < SLOTS; i++) {
                    calls.add(call(fleet, SHORT_TIMEOUT_MILLIS));
                }
                for (int i = 0; i < SLOTS; i++) {
                    calls.add(call(fleet, LONG_TIMEOUT_MILLIS));
                }
                calls.forEach(call -> call.handle((reply, failure) -> reply).join());
            }
            assertThat(fleet.mTargets.get(0).record()).contains("\"slotExcess\":0");
        }
    }
}
