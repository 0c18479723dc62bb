package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target stops within the head of its response and closes the connection. */
final class CutResponseTest {
    private static final String HEAD_START = "HTTP/1.1 200 OK\r\n";

    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("whole"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    // Guards against: a caller gets a success with an empty or short body, framed as whole, when
    // the target stopped in the middle of the head.
    @ParameterizedTest
    @CsvSource({
        "safe, 'Content-Length: 5\r\n'",
        "unsafe, 'Content-Length: 5\r\n'",
        "unsafe, 'Transfer-Encoding: chunked\r\n'",
        "unsafe, ''",
    })
    void shouldNeverAnswerWithASuccess(final String route, final String framing) throws Exception {
        for (int cut = 0; cut < 200; cut += 7) {
            final String id = "r" + cut;
            final int length = cut;
            mTarget.setScript(
                    request -> {
                        final String head =
                                HEAD_START
                                        + "X-Request-Id: "
                                        + request.id()
                                        + "\r\n"
                                        + PlatformTarget.SIGNATURE
                                        + framing
                                        + "\r\n";
                        request.write(head.substring(0, Math.min(length, head.length() - 1)));
                        throw new IOException("the target stops here");
                    });
            final String answer =
                    mNode.exchange(PlatformNode.request("POST", "/" + route + "/" + id, id));
            assertThat(answer).as("cut after %d bytes", cut).startsWith("HTTP/1.1 502");
        }
    }
}
