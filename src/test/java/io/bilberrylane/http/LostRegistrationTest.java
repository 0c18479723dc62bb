package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.ForgetfulIoHandler;
import io.netty.channel.unix.Errors;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections of callers that the event queue of the operating system no longer knows. */
final class LostRegistrationTest {
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\n";

    private ForgetfulIoHandler.Faults mFaults;
    private ScriptedCalls mCalls;

    @BeforeEach
    void start() {
        mFaults = new ForgetfulIoHandler.Faults();
        mCalls = new ScriptedCalls(mFaults.transport());
    }

    @AfterEach
    void stop() {
        mCalls.close();
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
}
