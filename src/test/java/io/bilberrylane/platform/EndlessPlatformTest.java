package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.EndlessServer;
import io.bilberrylane.net.Transport;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A platform whose answers have no end: the call must end, and not the process. */
final class EndlessPlatformTest {
    /** Half of the memory that a node may use outside of its heap. */
    private static final long MAX_ACCEPTED_BYTES = 16L * 1024 * 1024;

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long MAX_WAIT_SECONDS = 10;

    private final Transport mTransport = Transport.of(1);

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private PlatformClient client(final EndlessServer platform) {
        return PlatformClient.of(
                mTransport,
                URI.create("http://127.0.0.1:" + platform.address().getPort()),
                TIMEOUT_MILLIS);
    }

    private CompletableFuture<RuntimeException> watch(final PlatformClient client) {
        final CompletableFuture<RuntimeException> end = new CompletableFuture<>();
        client.watch(
                "k",
                1,
                TIMEOUT_MILLIS,
                new WatchListener() {
                    @Override
                    public void onEvents(final ObjectEvents events) {
                        end.completeExceptionally(new AssertionError("events without an end"));
                    }

                    @Override
                    public void onEnded(final RuntimeException cause) {
                        end.complete(cause);
                    }
                });
        return end;
    }

    private static ErrorCode codeOf(final CompletableFuture<?> call) throws Exception {
        return call.handle((result, failure) -> ((BilberrylaneException) cause(failure)).code())
                .get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static Throwable cause(final Throwable failure) {
        return failure instanceof BilberrylaneException ? failure : failure.getCause();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "list, '{\"currentRev\":5,\"items\":[{},', '{\"metadata\":{\"name\":\"a\"}},'",
        "events, '{\"currentRev\":5,\"events\":[{}', ',{\"object\":{}}'",
        "text, '\"', a",
    })
    void shouldEndTheCall(final String name, final String beginning, final String unit)
            throws Exception {
        final String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
        try (EndlessServer platform = EndlessServer.start(head + beginning, unit)) {
            final PlatformClient client = client(platform);
            assertThat(codeOf(client.list("k"))).isEqualTo(ErrorCode.PLATFORM_UNREADABLE);
            assertThat(codeOf(client.get("k", "a"))).isEqualTo(ErrorCode.PLATFORM_UNREADABLE);
            final RuntimeException ended = watch(client).get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(((BilberrylaneException) ended).code())
                    .isEqualTo(ErrorCode.PLATFORM_UNREADABLE);
            assertThat(platform.writtenBytes()).isLessThan(3 * MAX_ACCEPTED_BYTES);
        }
    }

    /** Each page is whole and names the same object, and each says that more follow. */
    @Test
    void shouldEndTheListWhenItsPagesHaveNoEnd() throws Exception {
        final String page =
                "{\"currentRev\":5,\"hasMore\":true,\"items\":[{\"metadata\":{\"name\":\"a\"}}]}";
        final String response =
                "HTTP/1.1 200 OK\r\nContent-Length: " + page.length() + "\r\n\r\n" + page;
        try (EndlessServer platform = EndlessServer.start(response, " ")) {
            assertThat(codeOf(client(platform).list("k"))).isEqualTo(ErrorCode.PLATFORM_UNREADABLE);
            assertThat(platform.requests()).isLessThan(10);
        }
    }

    @Test
    void shouldKeepTheMessageShortWhenARefusalIsLong() {
        assertThat(PlatformErrors.of(503, "a".repeat(1_000_000)).getMessage().length())
                .isLessThan(1_000);
    }
}
