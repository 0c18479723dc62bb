package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers that send the next request before they have the response to the last one. */
final class PipelinedCallerTest {
    private ScriptedCalls mCalls;

    @BeforeEach
    void start() {
        mCalls = new ScriptedCalls();
    }

    @AfterEach
    void stop() {
        mCalls.close();
    }

    // Guards against: a queued request hides that the caller has left, so that its calls go on and
    // the queued request is run for nobody.
    @Test
    void shouldEndTheCallAndDropTheQueuedRequestWhenTheCallerLeaves() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            ScriptedCalls.sendRequest(caller);
            final ScriptedCalls.Call call = mCalls.nextCall();
            ScriptedCalls.sendRequest(caller);
            caller.close();
            assertThat(mCalls.nextCut()).isEqualTo("caller-left");
            call.respondWithHead(0);
            call.endResponse();
        }
        assertThat(mCalls.hasNextCall()).isFalse();
    }
}
