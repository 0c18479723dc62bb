package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpCaller;
import io.bilberrylane.net.HttpReply;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A node that is told to stop, under calls. */
final class LeavingTest {
    private static final long SERVICE_MICROS = 700_000;

    private static CompletableFuture<HttpReply> call(
            final HttpCaller caller, final InetSocketAddress address) {
        return caller.call(address, HttpMethod.GET, "/", "", 4_000, "calendar");
    }

    @Test
    void shouldServeWhatComesAndCutNothingWhenItLeaves() throws Exception {
        try (Fleet fleet = Fleet.of(2, SERVICE_MICROS)) {
            final Node leaving = fleet.mNodes.get(0);
            final HttpCaller caller = HttpCaller.of(fleet.mTransport);
            final CompletableFuture<HttpReply> before = call(caller, leaving.callerAddress());
            final CompletableFuture<Void> left = CompletableFuture.runAsync(leaving::leave);
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(
                            caller.call(
                                            leaving.operatorAddress(),
                                            HttpMethod.GET,
                                            "/readyz",
                                            "",
                                            1_000)
                                    .join()
                                    .status())
                    .isEqualTo(503);
            TimeUnit.MILLISECONDS.sleep(1_500);
            final CompletableFuture<HttpReply> late = call(caller, leaving.callerAddress());
            assertThat(before.join().status()).isEqualTo(200);
            assertThat(late.join().status()).isEqualTo(200);
            left.get(6, TimeUnit.SECONDS);
        }
    }
}
