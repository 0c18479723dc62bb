package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One request identity comes twice to a target that answers the first time twice, the copy late.
 */
final class RepeatedIdentityTest {
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("warm"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    // Guards against: a call that comes again with the identity that it had, such as a call of a
    // request that runs again, gets the late copy of its first answer in place of its own answer.
    @ParameterizedTest(name = "{0} then {1}, {2} calls between")
    @CsvSource({"200, 500, 0", "500, 200, 0", "200, 200, 0", "200, 500, 1", "200, 500, 3"})
    void shouldGetTheAnswerOfItsOwnRun(
            final int firstStatus, final int status, final int callsBetween) throws Exception {
        final AtomicReference<Socket> first = new AtomicReference<>();
        mTarget.setScript(
                request -> {
                    final String id = request.id();
                    if (!id.equals("twice")) {
                        request.answer("between");
                    } else if (first.compareAndSet(null, request.socket())) {
                        request.write(PlatformTarget.response(firstStatus, id, "", "run 1"));
                    } else {
                        if (request.socket() == first.get()) {
                            request.write(PlatformTarget.response(firstStatus, id, "", "run 1"));
                        }
                        request.write(PlatformTarget.response(status, id, "", "run 2"));
                    }
                });
        Fleet.await(() -> call("warm-up").contains("between"));
        assertThat(call("twice")).startsWith("HTTP/1.1 " + firstStatus).contains("run 1");
        for (int i = 0; i < callsBetween; i++) {
            assertThat(call("between-" + i)).contains("between");
        }
        assertThat(call("twice")).startsWith("HTTP/1.1 " + status).contains("run 2");
    }

    private String call(final String id) {
        try {
            return mNode.exchange(PlatformNode.request("GET", "/safe/a", id));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
