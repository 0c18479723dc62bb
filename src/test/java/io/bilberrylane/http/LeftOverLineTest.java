package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole lines that are left after a response whose reader is slow. */
final class LeftOverLineTest {
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

    private ScriptedTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mTarget = ScriptedTarget.listen();
    }

    @AfterEach
    void stop() throws Exception {
        mTarget.close();
    }

    // Guards against: lines that the decoder has taken, but that make no message yet, aren't seen,
    // and the next response on the connection is read as their continuation.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
                "HTTP/1.1 200 OK\r\nContent-Le"
            })
    void shouldCloseTheConnectionOfASlowReader(final String rest) throws Exception {
        mTarget.sendAndReadSlowly("GET", 0, 20);
        try (Socket socket = mTarget.acceptRequest()) {
            ScriptedTarget.readAvailable(socket);
            ScriptedTarget.write(socket, CHUNKED + rest);
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
            assertThat(mTarget.remainingConnections()).isZero();
        }
    }
}
