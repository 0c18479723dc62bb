package io.bilberrylane.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SimpleHttpClientTest {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    /** The limit and what the sockets of both ends hold. */
    private static final long MAX_ACCEPTED_BYTES = 16L * 1024 * 1024;

    private static final int LONG_BODY_BYTES = 1024 * 1024;
    private static final int LONG_RESPONSES = 40;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long MAX_WAIT_SECONDS = 10;

    private final Transport mTransport = Transport.of(1);

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private CompletableFuture<HttpReply> call(final EndlessServer server) {
        return SimpleHttpClient.of(mTransport, MAX_RESPONSE_BYTES)
                .call(server.address(), HttpMethod.GET, "/", "", TIMEOUT_MILLIS);
    }

    // Guards against: a server that sends without end fills the memory of the process that called.
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "no message, '', a",
        "empty lines, '', '\r\n'",
        "status line, 'HTTP/1.1 200 ', a",
        "header line, 'HTTP/1.1 200 OK\r\nX: ', a",
        "header lines, 'HTTP/1.1 200 OK\r\n', 'X: a\r\n'",
        "informational responses, '', 'HTTP/1.1 102 Processing\r\n\r\n'",
        "body, 'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', a",
        "body without a length, 'HTTP/1.1 200 OK\r\n\r\n', a",
        "large chunk, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n', a",
        "chunks of one byte, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',"
                + " '1\r\na\r\n'",
        "chunk extension, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', a",
        "trailers, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'T: a\r\n'",
        "refusal, 'HTTP/1.1 503 Service Unavailable\r\n\r\n', a",
    })
    void shouldCloseTheConnectionWhenTheResponseHasNoEnd(
            final String name, final String beginning, final String unit) throws Exception {
        try (EndlessServer server = EndlessServer.start(beginning, unit)) {
            final CompletableFuture<HttpReply> reply = call(server);
            final boolean successful =
                    reply.handle((response, failure) -> failure == null && response.isSuccess())
                            .get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(successful).isFalse();
            assertThat(server.writtenBytes()).isLessThan(MAX_ACCEPTED_BYTES);
        }
    }

    @Test
    void shouldSayWhenTheResponseIsTooLong() throws Exception {
        try (EndlessServer server = EndlessServer.start("HTTP/1.1 200 OK\r\n\r\n", "a")) {
            assertThatThrownBy(() -> call(server).get(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
                    .isInstanceOf(ExecutionException.class)
                    .hasCauseInstanceOf(ResponseTooLongException.class);
        }
    }

    // Guards against: each response stays in memory until the call would have timed out, which for
    // a watch is half a minute.
    @Test
    void shouldNotKeepResponsesUntilTheirTimeout() throws Exception {
        final String body = "a".repeat(LONG_BODY_BYTES);
        final String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
        try (EndlessServer server = EndlessServer.start(response + body, " ")) {
            final SimpleHttpClient client = SimpleHttpClient.of(mTransport, 2 * LONG_BODY_BYTES);
            final long before = heapBytes();
            for (int i = 0; i < LONG_RESPONSES; i++) {
                final HttpReply reply =
                        client.call(server.address(), HttpMethod.GET, "/", "", TIMEOUT_MILLIS)
                                .get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
                assertThat(reply.body()).hasSize(LONG_BODY_BYTES);
            }
            assertThat(heapBytes() - before).isLessThan(LONG_RESPONSES * LONG_BODY_BYTES / 4);
        }
    }

    private static long heapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
