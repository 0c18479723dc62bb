package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target that answers each probe with bytes without end, and its calls as it should. */
final class EndlessProbeTest {
    private static final int REPEATED_CHARS = 16 * 1024;

    /** What the sockets of both ends hold, and some. */
    private static final long MAX_ACCEPTED_BYTES = 16L * 1024 * 1024;

    private static final long MAX_WAIT_SECONDS = 10;

    private final BlockingQueue<Long> mAcceptedBytes = new LinkedBlockingQueue<>();
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    private void writeWithoutEnd(
            final PlatformTarget.Request request, final String beginning, final String unit) {
        final byte[] repeated =
                unit.repeat(REPEATED_CHARS / unit.length()).getBytes(StandardCharsets.ISO_8859_1);
        long accepted = 0;
        try {
            request.write(beginning);
            while (accepted < 2 * MAX_ACCEPTED_BYTES) {
                request.socket().getOutputStream().write(repeated);
                accepted += repeated.length;
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
        mAcceptedBytes.add(accepted);
    }

    // Guards against: the node reads the answer to a probe at full speed until its time is up.
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "no message, '', a",
        "header lines, 'HTTP/1.1 200 OK\r\n', 'X: a\r\n'",
        "body, 'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', a",
        "body without a length, 'HTTP/1.1 200 OK\r\n\r\n', a",
        "chunks of one byte, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\na\r\n'",
    })
    void shouldCloseTheConnection(final String name, final String beginning, final String unit)
            throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            if (request.id().isEmpty()) {
                                writeWithoutEnd(request, beginning, unit);
                                throw new IOException("the connection has ended");
                            }
                            request.answer("sound");
                        });
        mNode = PlatformNode.probing(mTarget);
        mNode.exchange(PlatformNode.request("GET", "/safe/1", "s"));
        assertThat(mAcceptedBytes.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
                .isLessThan(MAX_ACCEPTED_BYTES);
    }
}
