package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Each request that was read and got no whole response is reported once, with the reason. */
final class AnswerCutTest {
    private static final int BODY_BYTES = 10;

    /** More than the buffers of the sockets hold, so that a part stays unwritten. */
    private static final int UNWRITTEN_BYTES = 16 * 1024 * 1024;

    private ScriptedCalls mCalls;

    @BeforeEach
    void start() {
        mCalls = new ScriptedCalls();
    }

    @AfterEach
    void stop() {
        mCalls.close();
    }

    private static void reset(final Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Test
    void shouldReportNothingWhenTheCallerHasTheWholeResponse() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            final ScriptedCalls.Call call = mCalls.nextCall();
            call.respondWithHead(BODY_BYTES);
            call.respondWithBody(BODY_BYTES);
            call.endResponse();
            ScriptedCalls.readHead(caller);
            caller.getInputStream().skipNBytes(BODY_BYTES);
        }
        assertThat(mCalls.hasCuts()).isFalse();
    }

    @Test
    void shouldReportAResponseThatBreaksOff() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            final ScriptedCalls.Call call = mCalls.nextCall();
            call.respondWithHead(BODY_BYTES);
            call.respondWithBody(BODY_BYTES / 2);
            call.breakResponse();
            assertThat(mCalls.nextCut()).isEqualTo("broken");
        }
        assertThat(mCalls.hasCuts()).isFalse();
    }

    @Test
    void shouldReportACallerThatLeaves() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            mCalls.nextCall();
        }
        assertThat(mCalls.nextCut()).isEqualTo("caller-left");
    }

    @Test
    void shouldReportACallerThatResetsItsConnection() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            mCalls.nextCall();
            reset(caller);
        }
        assertThat(mCalls.nextCut()).isEqualTo("caller-lost");
    }

    @Test
    void shouldReportARequestThatTheNodeLeavesBehindAtItsEnd() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            mCalls.nextCall();
            mCalls.server().close();
            assertThat(mCalls.nextCut()).isEqualTo("node-closed");
        }
    }

    @Test
    void shouldReportAWholeResponseThatWasNotWritten() throws Exception {
        try (Socket caller = mCalls.connect()) {
            ScriptedCalls.sendRequest(caller);
            final ScriptedCalls.Call call = mCalls.nextCall();
            call.respondWithHead(UNWRITTEN_BYTES);
            call.respondWithBody(UNWRITTEN_BYTES);
            call.endResponse();
            mCalls.awaitEvents();
            reset(caller);
        }
        assertThat(mCalls.nextCut()).isEqualTo("unwritten");
    }

    @Test
    void shouldLogTheRequestTheReasonAndWhatWasWritten() throws Exception {
        final Logger decisions = (Logger) LoggerFactory.getLogger("decision");
        final ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        decisions.addAppender(lines);
        try {
            shouldReportAResponseThatBreaksOff();
        } finally {
            decisions.detachAppender(lines);
        }
        final List<String> fields =
                lines.list.stream()
                        .filter(line -> line.getMessage().equals("answer-cut"))
                        .flatMap(line -> Arrays.stream(line.getArgumentArray()))
                        .map(Object::toString)
                        .toList();
        assertThat(fields)
                .contains(
                        "service=s",
                        "reason=broken:target-failed",
                        "admitted=true",
                        "status=200",
                        "writtenBytes=5",
                        "leaving=false")
                .anyMatch(field -> field.startsWith("request="))
                .anyMatch(field -> field.startsWith("elapsedMillis="));
    }
}
