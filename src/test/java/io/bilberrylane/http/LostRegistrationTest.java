package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.FaultyIoHandler;
import io.netty.channel.unix.Errors;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections of callers that the event queue of the operating system no longer knows. */
final class LostRegistrationTest {
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\n";
    private static final String BODY = "body";

    private FaultyIoHandler.Faults mFaults;
    private ScriptedCalls mCalls;

    @BeforeEach
    void start() {
        mFaults = new FaultyIoHandler.Faults();
        mCalls = new ScriptedCalls(mFaults.transport());
    }

    @AfterEach
    void stop() {
        mCalls.close();
    }

    // Guards against: a request whose head was passed on is ended by a bare close, because the node
    // cannot ask for the rest of it.
    @Test
    void shouldAnswerARequestWhoseBodyIsReadAfterTheLoss() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.send(caller, HEAD);
            final ScriptedCalls.Call call = mCalls.nextCall();
            mCalls.awaitEvents();
            mFaults.loseNext();
            ScriptedCalls.send(caller, BODY);
            call.admitAndAwaitRequest();
            respond(call);
            assertThat(ScriptedCalls.readHead(caller)).startsWith("HTTP/1.1 200 ");
        }
        assertThat(mCalls.transport().renewedRegistrations()).isEqualTo(1);
    }

    @Test
    void shouldServeTheNextRequestOnTheConnection() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.send(caller, HEAD);
            final ScriptedCalls.Call first = mCalls.nextCall();
            mCalls.awaitEvents();
            mFaults.loseNext();
            ScriptedCalls.send(caller, BODY);
            first.admitAndAwaitRequest();
            respond(first);
            ScriptedCalls.readHead(caller);
            ScriptedCalls.sendRequest(caller);
            respond(mCalls.nextCall());
            assertThat(ScriptedCalls.readHead(caller)).startsWith("HTTP/1.1 200 ");
        }
        assertThat(mCalls.hasCuts()).isFalse();
    }

    // Guards against: the log says that the caller has left when the node could not read on.
    @Test
    void shouldNameTheErrorWhenTheNodeCannotReadOn() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.send(caller, HEAD);
            final ScriptedCalls.Call call = mCalls.nextCall();
            mCalls.awaitEvents();
            mFaults.failNextWith(Errors.ERRNO_EBADF_NEGATIVE);
            call.admit();
            assertThat(mCalls.nextCut()).isEqualTo("error");
        }
    }

    private static void respond(final ScriptedCalls.Call call) {
        call.respondWithHead(0);
        call.endResponse();
    }
}
