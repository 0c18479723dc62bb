package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target in trouble responds with a status that HTTP does not define. */
final class UndefinedStatusTest {
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

    // Guards against: a caller gets an answer with the status 000.
    @ParameterizedTest
    @CsvSource({"safe, 000", "unsafe, 000", "unsafe, 999"})
    void shouldAnswerWithBadGateway(final String route, final String status) throws Exception {
        mTarget.setScript(
                request -> {
                    request.body();
                    request.write(
                            PlatformTarget.response(200, request.id(), "", "whole")
                                    .replace("200 OK", status + " Odd"));
                });
        final String answer = mNode.exchange(PlatformNode.request("POST", "/" + route + "/r", "r"));
        assertThat(answer).startsWith("HTTP/1.1 502 ").doesNotContain("X-Response-Signature");
    }
}
