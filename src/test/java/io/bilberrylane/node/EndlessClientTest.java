package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A client of any address of a node sends without end. The node closes the connection and serves.
 */
final class EndlessClientTest {
    private static final int REPEATED_CHARS = 16 * 1024;
    private static final long MAX_WAIT_SECONDS = 10;

    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("sound"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    private InetSocketAddress address(final String name) {
        return switch (name) {
            case "caller" -> mNode.node().callerAddress();
            case "target" -> mNode.node().targetAddress();
            case "operator" -> mNode.node().operatorAddress();
            case "peer" -> mNode.node().peerAddress();
            default -> throw new IllegalArgumentException(name);
        };
    }

    /** Completes when the node has closed the connection. */
    private static CompletableFuture<Void> writeWithoutEnd(
            final Socket socket, final String beginning, final String unit) {
        final byte[] repeated =
                unit.repeat(1 + REPEATED_CHARS / unit.length())
                        .getBytes(StandardCharsets.ISO_8859_1);
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        socket.getOutputStream()
                                .write(beginning.getBytes(StandardCharsets.ISO_8859_1));
                        while (true) {
                            socket.getOutputStream().write(repeated);
                        }
                    } catch (IOException e) {
                        // The node has closed the connection.
                    }
                },
                task -> Thread.ofPlatform().daemon().start(task));
    }

    @ParameterizedTest(name = "{0} {1}")
    @CsvSource({
        "caller, empty lines, '', '\r\n'",
        "caller, request line, 'GET /safe/', a",
        "caller, header line, 'GET /safe/1 HTTP/1.1\r\nX: ', a",
        "caller, header lines, 'GET /safe/1 HTTP/1.1\r\n', 'X: a\r\n'",
        "caller, body too long, 'POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
                + "X-Request-Id: a\r\nContent-Length: 99999999999\r\n\r\n', a",
        "caller, chunk extension, 'POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
                + "X-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5;', a",
        "caller, trailers, 'POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
                + "X-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'T: a\r\n'",
        "target, heartbeat, 'POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n', '1\r\na\r\n'",
        "target, long heartbeat, 'POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
                + "Content-Length: 99999999999\r\n\r\n', a",
        "target, header lines, 'POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\n', 'X: a\r\n'",
        "operator, body, 'GET /status HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n',"
                + " '10\r\naaaaaaaaaaaaaaaa\r\n'",
        "operator, header line, 'GET /status HTTP/1.1\r\nX: ', a",
        "peer, long frame, '~~~~', a",
        "peer, text, '', a",
    })
    void shouldCloseTheConnection(
            final String address, final String name, final String beginning, final String unit)
            throws Exception {
        final InetSocketAddress target = address(address);
        try (Socket socket = new Socket(target.getAddress(), target.getPort())) {
            writeWithoutEnd(socket, beginning, unit).get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        }
        assertThat(mNode.exchange(PlatformNode.request("GET", "/safe/1", "b"))).endsWith("sound");
    }
}
