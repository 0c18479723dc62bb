package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Kept connections of callers that the node closes. */
final class CallerConnectionEndTest {
    /** More than the buffers of the sockets hold, so that a part stays unwritten. */
    private static final int BODY_BYTES = 16 * 1024 * 1024;

    /** So that the node does what it does before the caller reads. */
    private static final long SLOW_READER_MILLIS = 200;

    private ScriptedCalls mCalls;
    private Socket mCaller;
    private ScriptedCalls.Call mCall;

    @BeforeEach
    void start() throws Exception {
        mCalls = new ScriptedCalls();
        mCaller = mCalls.connect();
        ScriptedCalls.sendRequest(mCaller);
        mCall = mCalls.nextCall();
    }

    @AfterEach
    void stop() throws Exception {
        mCaller.close();
        mCalls.close();
    }

    private void respond() {
        mCall.respondWithBody(BODY_BYTES);
        mCall.endResponse();
    }

    /** Reads a response and the end of the connection. */
    private void assertWholeResponse() throws Exception {
        TimeUnit.MILLISECONDS.sleep(SLOW_READER_MILLIS);
        assertThat(mCaller.getInputStream().readAllBytes()).hasSize(BODY_BYTES);
        assertThat(mCalls.hasCuts()).isFalse();
    }

    // Guards against: a node that begins to leave while a response is on its way closes the
    // connection before the rest of the response is written.
    @Test
    void shouldWriteTheWholeResponseWhenTheNodeLeavesAfterItsHead() throws Exception {
        mCall.respondWithHead(1 + BODY_BYTES);
        mCall.respondWithBody(1);
        assertThat(ScriptedCalls.readHead(mCaller)).doesNotContainIgnoringCase("connection:");
        mCaller.getInputStream().skipNBytes(1);
        mCalls.server().leave();
        respond();
        assertWholeResponse();
    }

    // Guards against: a leaving node takes a connection for idle whose last response is not
    // written yet.
    @Test
    void shouldWriteTheWholeResponseWhenIdleConnectionsAreClosed() throws Exception {
        mCall.respondWithHead(BODY_BYTES);
        respond();
        ScriptedCalls.readHead(mCaller);
        mCalls.server().leave();
        mCalls.server().closeIdle();
        assertWholeResponse();
    }

    // Guards against: a node ends while a response waits for its slow reader.
    @Test
    void shouldCountAnExchangeUntilItsResponseIsWritten() throws Exception {
        mCall.respondWithHead(BODY_BYTES);
        respond();
        ScriptedCalls.readHead(mCaller);
        assertThat(mCalls.server().exchanges()).isEqualTo(1);
        mCaller.getInputStream().skipNBytes(BODY_BYTES);
        awaitNoExchange();
    }

    @Test
    void shouldNotCountAnExchangeWhoseCallerHasLeft() throws Exception {
        assertThat(mCalls.server().exchanges()).isEqualTo(1);
        mCaller.close();
        awaitNoExchange();
    }

    @Test
    void shouldNotCountAnExchangeThatBrokeOff() throws Exception {
        mCall.respondWithHead(BODY_BYTES);
        mCall.breakResponse();
        awaitNoExchange();
    }

    // Guards against: a request that passes the check of a leaving node, but is not counted yet,
    // is left behind because the node takes itself for idle.
    @Test
    void shouldCountARequestBeforeItChecksWhetherTheNodeRefuses() throws Exception {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch goOn = new CountDownLatch(1);
        mCalls.beforeRouting(
                () -> {
                    reached.countDown();
                    await(goOn);
                });
        try (Socket late = mCalls.connect()) {
            ScriptedCalls.sendRequest(late);
            await(reached);
            mCalls.server().refuseNewRequests();
            final int exchanges = mCalls.server().exchanges();
            goOn.countDown();
            assertThat(exchanges).isEqualTo(2);
        }
    }

    // Guards against: a request that meets an error of the node ends with a bare close.
    @Test
    void shouldAnswerARequestThatMeetsAnUnexpectedError() throws Exception {
        mCalls.beforeRouting(
                () -> {
                    throw new IllegalStateException("an error that the test has made");
                });
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            assertThat(ScriptedCalls.readHead(caller))
                    .startsWith("HTTP/1.1 500 ")
                    .containsIgnoringCase("outcome: unknown")
                    .containsIgnoringCase("connection: close");
        }
    }

    private static void await(final CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitNoExchange() throws Exception {
        CompletableFuture.runAsync(
                        () -> {
                            while (mCalls.server().exchanges() > 0) {
                                Thread.onSpinWait();
                            }
                        })
                .get(5, TimeUnit.SECONDS);
    }
}
