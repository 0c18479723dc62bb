package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
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
}
