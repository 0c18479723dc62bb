package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetConnectionPoolTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    private static final int REQUEST_TIMEOUT_MILLIS = 1_000;

    private ScriptedTarget mTarget;

    @BeforeEach
    void start() throws IOException {
        mTarget = ScriptedTarget.listen();
    }

    @AfterEach
    void stop() throws IOException {
        mTarget.close();
    }

    private void respond(final Socket socket) throws IOException, InterruptedException {
        ScriptedTarget.readAvailable(socket);
        ScriptedTarget.write(socket, RESPONSE);
        assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
    }

    @Nested
    final class Identities {
        @Test
        void shouldReuseAConnectionForOtherIdentities() throws Exception {
            mTarget.send("GET", 0, "id-1");
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
                for (final String identity : new String[] {"id-2", "", "id-3", ""}) {
                    mTarget.send("GET", 0, identity);
                    assertThat(ScriptedTarget.awaitRequest(socket, REQUEST_TIMEOUT_MILLIS))
                            .as(identity)
                            .isTrue();
                    respond(socket);
                }
            }
        }

        // Guards against: the late response to an earlier sending of a request is taken for the
        // response to a later one.
        @Test
        void shouldNotReuseAConnectionThatHasCarriedTheIdentity() throws Exception {
            mTarget.send("GET", 0, "id-1");
            try (Socket first = mTarget.acceptRequest()) {
                respond(first);
                mTarget.send("GET", 0, "id-2");
                assertThat(ScriptedTarget.awaitRequest(first, REQUEST_TIMEOUT_MILLIS)).isTrue();
                respond(first);
                mTarget.send("GET", 0, "id-1");
                try (Socket second = mTarget.acceptRequest()) {
                    respond(second);
                    assertThat(ScriptedTarget.awaitRequest(first, 50)).isFalse();
                    mTarget.send("GET", 0, "id-2");
                    assertThat(ScriptedTarget.awaitRequest(second, REQUEST_TIMEOUT_MILLIS))
                            .isTrue();
                    respond(second);
                }
            }
        }

        @Test
        void shouldCloseAConnectionThatHasCarriedTooManyIdentities() throws Exception {
            mTarget.send("GET", 0, "id-0");
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
                for (int i = 1; i < TargetConnection.MAX_IDENTITIES; i++) {
                    mTarget.send("GET", 0, "id-" + i);
                    assertThat(ScriptedTarget.awaitRequest(socket, REQUEST_TIMEOUT_MILLIS))
                            .as("request %d", i)
                            .isTrue();
                    respond(socket);
                }
                assertThat(mTarget.remainingConnections()).isZero();
                assertThat(socket.getInputStream().read()).isNegative();
            }
        }
    }

    /** The pool of the scripted target opens four connections at most. */
    @Nested
    final class AtTheLimit {
        private static final int LIMIT = 4;
        private static final int SOON_MILLIS = 10;
        private static final int PATIENT_WAIT_MILLIS = 4_000;
        private static final int REFUSALS = 20;

        private final List<Socket> mSockets = new ArrayList<>();

        @AfterEach
        void closeSockets() throws IOException {
            for (final Socket socket : mSockets) {
                socket.close();
            }
        }

        /** Starts anew with requests that wait so long that a slow machine does not matter. */
        private void waitPatiently() throws IOException {
            mTarget.close();
            mTarget = ScriptedTarget.listen(PATIENT_WAIT_MILLIS);
        }

        private void sendOnNewConnections(final int count) throws IOException {
            for (int i = 0; i < count; i++) {
                mTarget.send("GET", 0, "id-1");
            }
            for (int i = 0; i < count; i++) {
                mSockets.add(mTarget.acceptRequest());
            }
        }

        // Guards against: a call is refused although an idle connection could have been replaced.
        @Test
        void shouldReplaceAnIdleConnectionThatHasCarriedTheIdentity() throws Exception {
            sendOnNewConnections(LIMIT);
            for (final Socket socket : mSockets) {
                respond(socket);
            }
            mTarget.send("GET", 0, "id-1");
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
                assertThat(mTarget.openConnections()).isEqualTo(LIMIT);
            }
        }

        @Test
        void shouldReplaceOneIdleConnectionForEachRequest() throws Exception {
            sendOnNewConnections(LIMIT);
            for (final Socket socket : mSockets) {
                respond(socket);
            }
            sendOnNewConnections(LIMIT);
            for (final Socket socket : mSockets.subList(LIMIT, 2 * LIMIT)) {
                respond(socket);
            }
            assertThat(mTarget.openConnections()).isEqualTo(LIMIT);
        }

        private List<TargetConnection> holdEveryConnection() throws Exception {
            final List<TargetConnection> held = new ArrayList<>();
            for (int i = 0; i < LIMIT; i++) {
                held.add(mTarget.acquire());
            }
            return held;
        }

        // Guards against: a call is refused while a check of reachability holds the last place.
        @Test
        void shouldWaitForAConnectionThatIsReturnedUnused() throws Exception {
            waitPatiently();
            final List<TargetConnection> held = holdEveryConnection();
            mTarget.send("GET", 0, "id-1");
            TimeUnit.MILLISECONDS.sleep(SOON_MILLIS);
            held.get(0).release();
            for (int i = 0; i < LIMIT; i++) {
                mSockets.add(mTarget.accept());
            }
            final Socket first = mSockets.get(0);
            assertThat(ScriptedTarget.awaitRequest(first, REQUEST_TIMEOUT_MILLIS)).isTrue();
            respond(first);
        }

        @Test
        void shouldReplaceAReturnedConnectionThatDoesNotFit() throws Exception {
            waitPatiently();
            sendOnNewConnections(LIMIT);
            for (final Socket socket : mSockets) {
                respond(socket);
            }
            final List<TargetConnection> held = holdEveryConnection();
            mTarget.send("GET", 0, "id-1");
            TimeUnit.MILLISECONDS.sleep(SOON_MILLIS);
            held.get(0).release();
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
            }
        }

        @Test
        void shouldTakeThePlaceOfAConnectionThatBreaks() throws Exception {
            waitPatiently();
            holdEveryConnection();
            mTarget.send("GET", 0, "id-1");
            TimeUnit.MILLISECONDS.sleep(SOON_MILLIS);
            for (int i = 0; i < LIMIT; i++) {
                mSockets.add(mTarget.accept());
            }
            mSockets.get(0).close();
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
            }
        }

        @Test
        void shouldRefuseWhenNoneIsReturnedSoon() throws Exception {
            holdEveryConnection();
            mTarget.send("GET", 0, "id-1");
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.AT_LIMIT);
        }

        @Test
        void shouldRefuseAtOnceWhenEveryConnectionServesAnExchange() throws Exception {
            sendOnNewConnections(LIMIT);
            final long startNanos = System.nanoTime();
            for (int i = 0; i < REFUSALS; i++) {
                mTarget.send("GET", 0, "id-2");
                assertThat(mTarget.end()).isEqualTo(ScriptedTarget.AT_LIMIT);
            }
            assertThat(System.nanoTime() - startNanos)
                    .isLessThan(
                            TimeUnit.MILLISECONDS.toNanos(
                                    REFUSALS * TargetConnectionPool.MAX_WAIT_MILLIS));
            assertThat(mTarget.openConnections()).isEqualTo(LIMIT);
        }

        @Test
        void shouldRefuseARequestThatWaitsWhenThePoolIsClosed() throws Exception {
            final List<TargetConnection> held = holdEveryConnection();
            mTarget.send("GET", 0, "id-1");
            mTarget.closePool();
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.AT_LIMIT);
            held.forEach(TargetConnection::release);
            assertThat(mTarget.remainingConnections()).isZero();
        }
    }

    @Nested
    final class Closed {
        @Test
        void shouldCloseAConnectionThatWasBeingOpened() throws Exception {
            mTarget.send("GET", 0);
            mTarget.closePool();
            try (Socket socket = mTarget.acceptRequest()) {
                respond(socket);
                assertThat(mTarget.remainingConnections()).isZero();
            }
        }

        @Test
        void shouldRefuse() throws Exception {
            mTarget.closePool();
            mTarget.send("GET", 0);
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.AT_LIMIT);
            assertThat(mTarget.openConnections()).isZero();
        }
    }

    @Test
    void shouldCountNoConnectionThatCouldNotBeOpened() throws Exception {
        mTarget.stopListening();
        for (int i = 0; i < 20; i++) {
            mTarget.send("GET", 0);
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.UNREACHABLE);
        }
        assertThat(mTarget.remainingConnections()).isZero();
    }
}
