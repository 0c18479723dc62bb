package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class TargetConnectionTest {
    private static final String MATCHING_RESPONSE =
            "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nyes";
    private static final String MISMATCHED_RESPONSE =
            "HTTP/1.1 200 OK\r\n" + ScriptedTarget.EARLIER_ID + "Content-Length: 2\r\n\r\nno";

    private ScriptedTarget mTarget;

    @BeforeEach
    void start() throws IOException {
        mTarget = ScriptedTarget.listen();
    }

    @AfterEach
    void stop() throws IOException {
        mTarget.close();
    }

    /**
     * Sends a request to a target that responds with the given bytes and then closes or resets the
     * connection.
     */
    private void exchange(final String response, final boolean reset)
            throws IOException, InterruptedException {
        mTarget.send("GET", 0);
        try (Socket socket = mTarget.acceptRequest()) {
            ScriptedTarget.readAvailable(socket);
            ScriptedTarget.write(socket, response);
            if (reset) {
                ScriptedTarget.reset(socket);
            }
        }
    }

    /** The target may still work on an aborted request until it has noticed the abort. */
    @Test
    void shouldReportAnAbortOnlyWhenTheTargetHasClosedTheConnection() throws Exception {
        mTarget.sendAndAbort();
        try (Socket socket = mTarget.accept()) {
            while (socket.getInputStream().read() >= 0) {
                assertThat(mTarget.hasEvents()).isFalse();
            }
            assertThat(mTarget.hasEvents()).isFalse();
        }
        assertThat(mTarget.nextEvent()).isEqualTo(ScriptedTarget.ABORTED);
    }

    @Test
    void shouldReportAnAbortAfterSomeTimeWhenTheTargetDoesNotNotice() throws Exception {
        final long startNanos = System.nanoTime();
        mTarget.sendAndAbort();
        try (Socket socket = mTarget.accept()) {
            assertThat(mTarget.nextEvent()).isEqualTo(ScriptedTarget.ABORTED);
            assertThat(System.nanoTime() - startNanos)
                    .isBetween(
                            TimeUnit.MILLISECONDS.toNanos(90), TimeUnit.MILLISECONDS.toNanos(450));
            assertThat(socket.isConnected()).isTrue();
        }
    }

    @Test
    void shouldDropTheResponseWhenItBelongsToAnotherRequest() throws Exception {
        exchange(MISMATCHED_RESPONSE + MATCHING_RESPONSE, false);
        assertThat(mTarget.nextEvent()).isEqualTo(ScriptedTarget.MISMATCHED);
        assertThat(mTarget.nextEvent()).isEqualTo("head 200");
        assertThat(mTarget.nextEvent()).isEqualTo("yes");
        assertThat(mTarget.nextEvent()).isEqualTo(ScriptedTarget.COMPLETE);
    }

    @Test
    void shouldNotReuseTheConnectionWhenItCarriedAMismatchedResponse() throws Exception {
        exchange(MISMATCHED_RESPONSE + MATCHING_RESPONSE, false);
        while (!ScriptedTarget.COMPLETE.equals(mTarget.nextEvent())) {
            // Another test checks the events before the last one.
        }
        assertThat(mTarget.remainingConnections()).isZero();
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
        exchange(response, reset);
        assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(mTarget.hasEvents()).isFalse();
    }

    // Guards against: a status that HTTP does not define, such as 000, is passed on to the caller.
    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "20", "099", "600", "999", "2000"})
    void shouldRejectAStatusOutsideTheDefinedClasses(final String status) throws Exception {
        exchange("HTTP/1.1 " + status + " Odd\r\nId: own\r\nContent-Length: 3\r\n\r\nyes", false);
        assertThat(mTarget.nextEvent()).isEqualTo(ScriptedTarget.BROKEN);
        assertThat(mTarget.remainingConnections()).isZero();
    }

    // Guards against: an exchange never ends because its connection was closed, on its own event
    // loop, just before another one started the exchange.
    @Test
    void shouldFailAnExchangeThatStartsOnAClosedConnection() throws Exception {
        final TargetConnection connection = mTarget.acquire();
        mTarget.accept().close();
        assertThat(mTarget.remainingConnections()).isZero();
        mTarget.sendOn(connection);
        assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
        assertThat(mTarget.hasEvents()).isFalse();
    }
}
