package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class TargetConnectionTest {
    private static final String MATCHING_RESPONSE =
            "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nyes";
    private static final String MISMATCHED_RESPONSE =
            "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nno";

    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
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

    /**
     * Sends a request to a target that responds with the given bytes and then closes or resets the
     * connection.
     */
    private void exchange(final String response, final boolean reset) throws IOException {
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                connection -> {
                    final HttpRequest request =
                            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
                    connection.send(request, true, new Recorder(connection));
                },
                cause -> mEvents.add("unreachable"));
        try (Socket socket = mServer.accept()) {
            assertThat(socket.getInputStream().read()).isPositive();
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            if (reset) {
                pauseBeforeReset();
                socket.setSoLinger(true, 0);
            }
        }
    }

    private void pauseBeforeReset() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String nextEvent() throws InterruptedException {
        return mEvents.poll(5, TimeUnit.SECONDS);
    }

    private final class Recorder implements TargetResponseListener {
        private final TargetConnection mConnection;

        private Recorder(final TargetConnection connection) {
            mConnection = connection;
        }

        @Override
        public boolean onResponse(final HttpResponse response) {
            final boolean matching = "own".equals(response.headers().get("Id"));
            mEvents.add(matching ? "head" : "mismatched");
            return matching;
        }

        @Override
        public void onContent(final ByteBuf bytes) {
            mEvents.add(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
            mConnection.read();
        }

        @Override
        public void onComplete() {
            mEvents.add("complete");
        }

        @Override
        public void onFailure(final Throwable cause) {
            mEvents.add("broken");
        }

        @Override
        public void onBodyWritten(final int bytes) {
            mEvents.add("written");
        }
    }

    private void sendAndAbort() {
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                connection -> {
                    connection.send(
                            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                            true,
                            new Recorder(connection));
                    connection.abort(() -> mEvents.add("aborted"));
                },
                cause -> mEvents.add("unreachable"));
    }

    /** The target may still work on an aborted request until it has noticed the abort. */
    @Test
    void shouldReportAnAbortOnlyWhenTheTargetHasClosedTheConnection() throws Exception {
        sendAndAbort();
        try (Socket socket = mServer.accept()) {
            while (socket.getInputStream().read() >= 0) {
                assertThat(mEvents).isEmpty();
            }
            assertThat(mEvents).isEmpty();
        }
        assertThat(nextEvent()).isEqualTo("aborted");
    }

    @Test
    void shouldReportAnAbortAfterSomeTimeWhenTheTargetDoesNotNotice() throws Exception {
        final long startNanos = System.nanoTime();
        sendAndAbort();
        try (Socket socket = mServer.accept()) {
            assertThat(nextEvent()).isEqualTo("aborted");
            assertThat(System.nanoTime() - startNanos)
                    .isBetween(
                            TimeUnit.MILLISECONDS.toNanos(90), TimeUnit.MILLISECONDS.toNanos(450));
            assertThat(socket.isConnected()).isTrue();
        }
    }

    @Test
    void shouldDropTheResponseWhenItBelongsToAnotherRequest() throws Exception {
        exchange(MISMATCHED_RESPONSE + MATCHING_RESPONSE, false);
        assertThat(nextEvent()).isEqualTo("mismatched");
        assertThat(nextEvent()).isEqualTo("head");
        assertThat(nextEvent()).isEqualTo("yes");
        assertThat(nextEvent()).isEqualTo("complete");
    }

    @Test
    void shouldNotReuseTheConnectionWhenItCarriedAMismatchedResponse() throws Exception {
        exchange(MISMATCHED_RESPONSE + MATCHING_RESPONSE, false);
        while (!"complete".equals(nextEvent())) {
            // Another test checks the events before the last one.
        }
        Thread.sleep(50);
        assertThat(mPool.open()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\nshort', false",
        "'HTTP/1.1 200 OK\r\nId: own\r\n\r\nno length', true",
        "'no answer at all\r\n\r\n', false",
        "'', false",
    })
    void shouldNotCompleteWhenTheResponseIsTruncatedOrMalformed(
            final String response, final boolean reset) throws Exception {
        exchange(response.replace("\\r\\n", "\r\n"), reset);
        String last = "";
        for (String event = nextEvent();
                event != null;
                event = mEvents.poll(300, TimeUnit.MILLISECONDS)) {
            last = event;
        }
        assertThat(last).isEqualTo("broken");
    }
}
