package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A target that sends bytes without end which are no response. The connection must be closed, long
 * before the call's deadline, and with a bounded number of bytes.
 */
final class EndlessResponseTest {
    private static final int REPEATED_CHARS = 1_000;
    private static final long MAX_ACCEPTED_BYTES = 16L * 1024 * 1024;
    private static final long MAX_WAIT_SECONDS = 10;

    private ServerSocket mServer;
    private Transport mTransport;
    private TargetConnectionPool mPool;

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        mTransport = Transport.of(1);
        mPool =
                TargetConnectionPool.of(
                        mTransport,
                        new TargetPoolSettings(
                                new InetSocketAddress("127.0.0.1", mServer.getLocalPort()), 4, 0));
    }

    @AfterEach
    void stop() throws IOException {
        mPool.close();
        mTransport.close();
        mServer.close();
    }

    /** Ends with the cause of the failure; discards all content. */
    private record Discarder(TargetConnection connection, CompletableFuture<Throwable> failure)
            implements TargetResponseListener {
        @Override
        public boolean onResponse(final HttpResponse response) {
            return "own".equals(response.headers().get("Id"));
        }

        @Override
        public void onContent(final ByteBuf bytes) {
            bytes.release();
            connection.read();
        }

        @Override
        public void onComplete() {
            failure.completeExceptionally(new AssertionError("the response is complete"));
        }

        @Override
        public void onFailure(final Throwable cause) {
            failure.complete(cause);
        }

        @Override
        public void onBodyWritten(final int bytes) {
            // The request has no body.
        }
    }

    private CompletableFuture<Throwable> send() {
        final CompletableFuture<Throwable> failure = new CompletableFuture<>();
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                connection ->
                        connection.send(
                                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                true,
                                new Discarder(connection, failure)),
                failure::completeExceptionally);
        return failure;
    }

    /** Writes until the other end closes the connection; returns the number of bytes. */
    private static long writeWithoutEnd(final Socket socket, final String prefix, final String unit)
            throws IOException {
        final OutputStream out = socket.getOutputStream();
        long written = 0;
        try {
            out.write(prefix.getBytes(StandardCharsets.US_ASCII));
            final byte[] repeated = unit.repeat(REPEATED_CHARS).getBytes(StandardCharsets.US_ASCII);
            while (written < MAX_ACCEPTED_BYTES) {
                out.write(repeated);
                written += repeated.length;
            }
        } catch (IOException e) {
            return written;
        }
        return written;
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "empty lines, '', '\r\n'",
        "status line, 'HTTP/1.1 200 ', a",
        "header line, 'HTTP/1.1 200 OK\r\nX: ', a",
        "header lines, 'HTTP/1.1 200 OK\r\n', 'X: a\r\n'",
        "informational responses, '', 'HTTP/1.1 102 Processing\r\n\r\n'",
        "chunk extension, 'HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n5;', a",
        "trailers, 'HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',"
                + " 'T: a\r\n'",
        "body of another response, 'HTTP/1.1 200 OK\r\nId: old\r\n"
                + "Content-Length: 99999999999\r\n\r\n', a",
        "body of another response without length, 'HTTP/1.1 200 OK\r\nId: old\r\n\r\n', a",
        "responses to others, '', 'HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n'",
    })
    void shouldCloseTheConnection(final String name, final String prefix, final String unit)
            throws Exception {
        final CompletableFuture<Throwable> failure = send();
        try (Socket socket = mServer.accept()) {
            assertThat(socket.getInputStream().read()).isPositive();
            final long written = writeWithoutEnd(socket, prefix, unit);
            assertThat(written).isLessThan(MAX_ACCEPTED_BYTES);
        }
        assertThat(failure.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }
}
