package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that are in progress when the drain time of a node is over. */
final class DrainEndTest {
    private static final int READ_TIMEOUT_MILLIS = 6_000;

    private final Set<String> mRuns = ConcurrentHashMap.newKeySet();
    private PlatformTarget mTarget;
    private PlatformNode mFleet;
    private Node mIngress;

    @BeforeEach
    void start() throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            mRuns.add(request.id());
                            TimeUnit.MILLISECONDS.sleep(2 * PlatformNode.DRAIN_MILLIS);
                            request.answer("too late");
                        });
        mFleet = PlatformNode.beside(mTarget);
        mIngress = mFleet.startIngress();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    /** Sends a request, lets the node leave, and returns all that comes until the end. */
    private String answerOfLeavingNode(final String request) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mIngress.callerAddress().getPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            TimeUnit.MILLISECONDS.sleep(PlatformNode.DRAIN_MILLIS / 20);
            final CompletableFuture<Void> left = CompletableFuture.runAsync(mIngress::leave);
            final String answer =
                    new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            left.join();
            return answer;
        }
    }

    // Guards against: a request that a leaving node can't finish ends without an answer.
    @Test
    void shouldPromiseNothingAboutARequestThatIsInService() throws Exception {
        final String answer =
                answerOfLeavingNode(
                        PlatformNode.request("POST", "/unsafe/run", "run")
                                .replace("Connection: close\r\n", ""));
        assertThat(mRuns).contains("run");
        assertThat(answer)
                .startsWith("HTTP/1.1 502 ")
                .containsIgnoringCase("outcome: unknown")
                .containsIgnoringCase("connection: close")
                .endsWith("}\n");
    }

    @Test
    void shouldRefuseARequestWhoseBodyNoTargetHasGot() throws Exception {
        final String answer =
                answerOfLeavingNode(
                        PlatformNode.request("POST", "/unsafe/body", "body")
                                .replace("Connection: close\r\n", "Content-Length: 9\r\n"));
        assertThat(mRuns).isEmpty();
        assertThat(answer)
                .startsWith("HTTP/1.1 503 ")
                .containsIgnoringCase("outcome: not-run")
                .endsWith("}\n");
    }
}
