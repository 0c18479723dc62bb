package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A response is complete only if its framing, or the regular end of its connection, says so. */
final class ResponseEndTest {
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nhalf of it";
    private static final int UNWRITTEN_BODY_BYTES = 8 * 1024 * 1024;

    private ScriptedTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mTarget = ScriptedTarget.listen();
    }

    @AfterEach
    void stop() throws Exception {
        mTarget.close();
    }

    @Nested
    final class WithoutLength {
        // Guards against: half of a response is forwarded as complete when a reset is noticed by
        // a write instead of a read.
        @ParameterizedTest
        @ValueSource(ints = {0, 4_000, UNWRITTEN_BODY_BYTES})
        void shouldNotCompleteWhenTheTargetResets(final int bodyBytes) throws Exception {
            mTarget.send("POST", bodyBytes);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.write(socket, UNFRAMED);
                ScriptedTarget.reset(socket);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
        }

        @Test
        void shouldCompleteWhenTheTargetClosesItsSide() throws Exception {
            mTarget.send("POST", UNWRITTEN_BODY_BYTES);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.write(socket, UNFRAMED);
                socket.shutdownOutput();
                assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
            }
            assertThat(mTarget.openConnections()).isZero();
        }

        @Test
        void shouldCompleteWhenTheTargetHasReadAllAndCloses() throws Exception {
            mTarget.send("GET", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                while (socket.getInputStream().available() > 0) {
                    socket.getInputStream().read();
                }
                ScriptedTarget.write(socket, UNFRAMED);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
        }
    }
}
