package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A target has a health path and does not tell its load in any response. */
final class UnreportedSpeedTest {
    private static final int CALLS = 5;

    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(UnreportedSpeedTest::answer);
        mNode = PlatformNode.probing(mTarget);
    }

    private static void answer(final PlatformTarget.Request request) throws IOException {
        if (request.id().isEmpty()) {
            request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        } else {
            request.answer("done");
        }
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    // Guards against: a service whose targets do not tell their load is never served (CONFIG).
    @Test
    void shouldServeCalls() throws IOException {
        for (int i = 0; i < CALLS; i++) {
            assertThat(mNode.exchange(PlatformNode.request("GET", "/safe/1", "id-" + i)))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("done");
        }
    }
}
