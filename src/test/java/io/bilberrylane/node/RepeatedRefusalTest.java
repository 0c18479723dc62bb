package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target writes an earlier refusal once more on a connection that is in use again. */
final class RepeatedRefusalTest {
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("first"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    // Guards against: a refusal of an earlier request, or of a probe, is taken for the answer of a
    // request that runs, so that the caller is told that it never ran or it runs again.
    @ParameterizedTest(name = "{0} {1} {2}")
    @CsvSource({
        "unsafe, 503, 'X-Request-Id: a\r\nX-Not-Executed: full\r\n'",
        "unsafe, 503, 'X-Not-Executed: full\r\n'",
        "unsafe, 503, 'X-Instance-Id: i-1\r\n'",
        "unsafe, 429, 'X-Not-Executed: full\r\n'",
        "unsafe, 421, ''",
        "unsafe, 400, ''",
        "unsafe, 500, ''",
        "safe, 503, 'X-Not-Executed: full\r\n'",
        "safe, 500, ''",
    })
    void shouldAwaitTheAnswerOfTheRequestItself(
            final String route, final int status, final String fields) throws Exception {
        assertThat(mNode.exchange(PlatformNode.request("POST", "/" + route + "/a", "a")))
                .contains("first");
        mTarget.setScript(
                request -> {
                    if (request.numberOnConnection() > 1) {
                        request.write(
                                "HTTP/1.1 "
                                        + status
                                        + " R\r\n"
                                        + fields
                                        + "Content-Length: 2\r\n"
                                        + "\r\nno");
                    }
                    request.answer("second");
                });
        final String answer = mNode.exchange(PlatformNode.request("POST", "/" + route + "/b", "b"));
        assertThat(answer).startsWith("HTTP/1.1 200").contains("second");
    }

    /** The platform's targets answer 400 without an identity to a request that has none. */
    @Test
    void shouldForwardARefusalWithoutIdentityWhenTheRequestHasNone() throws Exception {
        mNode.exchange(PlatformNode.request("POST", "/unsafe/a", "a"));
        mTarget.setScript(
                request ->
                        request.write(
                                "HTTP/1.1 400 R\r\nX-Not-Executed: id\r\n"
                                        + "Content-Length: 0\r\n\r\n"));
        final String request =
                PlatformNode.request("POST", "/unsafe/b", "").replace("X-Request-Id: \r\n", "");
        assertThat(mNode.exchange(request)).startsWith("HTTP/1.1 400");
    }

    @Test
    void shouldForwardARefusalWithoutIdentityOnANewConnection() throws Exception {
        mTarget.setScript(
                request ->
                        request.write(
                                "HTTP/1.1 500 R\r\nContent-Length: 5\r\n\r\n"
                                        + (request.numberOnConnection() == 1 ? "first" : "again")));
        assertThat(mNode.exchange(PlatformNode.request("POST", "/unsafe/a", "a")))
                .startsWith("HTTP/1.1 500")
                .contains("first");
    }
}
