package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A response is complete only if its framing, or the regular end of its connection, says so. */
final class ResponseEndTest {
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nhalf of it";

    /** One cut in so many ends its connection only after the bytes before it were read. */
    private static final int PAUSED_CUTS = 3;

    private static final int UNWRITTEN_BODY_BYTES = 8 * 1024 * 1024;

    private ScriptedTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mTarget = ScriptedTarget.listen();
    }

    @AfterEach
    void stop() throws Exception {
        mTarget.close();
    }

    @Nested
    final class WithoutLength {
        // Guards against: half of a response is forwarded as complete when a reset is noticed by
        // a write instead of a read.
        @ParameterizedTest
        @ValueSource(ints = {0, 4_000, UNWRITTEN_BODY_BYTES})
        void shouldNotCompleteWhenTheTargetResets(final int bodyBytes) throws Exception {
            mTarget.send("POST", bodyBytes);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.write(socket, UNFRAMED);
                ScriptedTarget.reset(socket);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
        }

        @Test
        void shouldCompleteWhenTheTargetClosesItsSide() throws Exception {
            mTarget.send("POST", UNWRITTEN_BODY_BYTES);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.write(socket, UNFRAMED);
                socket.shutdownOutput();
                assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
            }
            assertThat(mTarget.remainingConnections()).isZero();
        }

        @Test
        void shouldCompleteWhenTheTargetHasReadAllAndCloses() throws Exception {
            mTarget.send("GET", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, UNFRAMED);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
        }
    }

    /** Returns the lengths at which a response that is cut there is reported as complete. */
    private List<Integer> cutsThatComplete(
            final String method, final String response, final int from, final boolean reset)
            throws Exception {
        final List<Integer> completed = new ArrayList<>();
        for (int length = from; length < response.length(); length++) {
            mTarget.send(method, 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, response.substring(0, length));
                if (length % PAUSED_CUTS == 0) {
                    TimeUnit.MILLISECONDS.sleep(5);
                }
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
            }
            if (!ScriptedTarget.BROKEN.equals(mTarget.end())) {
                completed.add(length);
            }
        }
        return completed;
    }

    @Nested
    final class CutInTheBody {
        @ParameterizedTest
        @CsvSource({
            "'Content-Length: 12\r\n\r\n', 'half of this'",
            "'Transfer-Encoding: chunked\r\n\r\n',"
                    + " '5;a=b\r\nhalf \r\n7\r\nof this\r\n0\r\n\r\n'",
            "'Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n',"
                    + " '4\r\nhalf\r\n0\r\nT: t\r\n\r\n'",
        })
        void shouldNotComplete(final String framing, final String body) throws Exception {
            final String head = "HTTP/1.1 200 OK\r\n" + framing;
            final String response = head + body;
            assertThat(cutsThatComplete("GET", response, head.length(), false)).isEmpty();
            assertThat(cutsThatComplete("GET", response, head.length(), true)).isEmpty();
        }
    }

    @Nested
    final class CutInTheHead {
        private static final String SIGNED = "X-Response-Signature: 3e1b.07\r\n";

        // Guards against: a response whose head was cut is forwarded as a whole one, with an empty
        // or short body.
        @ParameterizedTest
        @CsvSource({
            "GET, 'Content-Length: 12\r\n', false",
            "GET, 'Content-Length: 12\r\n', true",
            "GET, 'Transfer-Encoding: chunked\r\n', false",
            "GET, 'Transfer-Encoding: chunked\r\nContent-Length: 12\r\n', false",
            "GET, '', false",
            "GET, '', true",
            "GET, 'Connection: close\r\n', false",
            "HEAD, 'Content-Length: 12\r\n', false",
            "POST, 'Content-Length: 0\r\n', false",
        })
        void shouldNotComplete(final String method, final String framing, final boolean reset)
                throws Exception {
            for (final String status : List.of("200 OK", "204 No Content", "304 Not", "503 No")) {
                final String head = "HTTP/1.1 " + status + "\r\n" + SIGNED + framing + "\r\n";
                assertThat(cutsThatComplete(method, head, 0, reset)).as(status).isEmpty();
            }
        }

        @Test
        void shouldNotCompleteAfterAnInformationalResponse() throws Exception {
            final String head =
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SIGNED + "\r\n";
            assertThat(cutsThatComplete("GET", head, 0, false)).isEmpty();
        }
    }

    // Guards against: the rest of a response is dropped, and its exchange never ends, because the
    // target closed the connection while the reader had not read all of it.
    @Nested
    final class SlowReader {
        private static final String HEAD = "HTTP/1.1 200 OK\r\n";
        private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        private static final int PARTS = 40;
        private static final int DELAY_MILLIS = 5;
        private static final int ENDLESS_DELAY_MILLIS = 60_000;

        private void assertComplete(final String response, final int bodyBytes) throws Exception {
            mTarget.sendAndReadSlowly("GET", 0, DELAY_MILLIS);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, response);
            }
            assertThat(mTarget.nextEvent()).isEqualTo("head 200");
            int received = 0;
            String event = mTarget.nextEvent();
            while (event != null && !event.equals(ScriptedTarget.COMPLETE)) {
                assertThat(event).isNotEqualTo(ScriptedTarget.BROKEN);
                received += event.length();
                event = mTarget.nextEvent();
            }
            assertThat(event).isEqualTo(ScriptedTarget.COMPLETE);
            assertThat(received).isEqualTo(bodyBytes);
            assertThat(mTarget.remainingConnections()).isZero();
        }

        @Test
        void shouldGetAllChunksWhenTheTargetCloses() throws Exception {
            assertComplete(CHUNKED_HEAD + "1\r\na\r\n".repeat(PARTS) + "0\r\n\r\n", PARTS);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "Content-Length: 200000\r\n"})
        void shouldGetTheWholeBodyWhenTheTargetCloses(final String framing) throws Exception {
            assertComplete(HEAD + framing + "\r\n" + "a".repeat(200_000), 200_000);
        }

        @Test
        void shouldNotCompleteWhenTheTargetClosesInTheBody() throws Exception {
            mTarget.sendAndReadSlowly("GET", 0, DELAY_MILLIS);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, CHUNKED_HEAD + "1\r\na\r\n".repeat(PARTS));
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
            assertThat(mTarget.remainingConnections()).isZero();
        }

        @ParameterizedTest
        @ValueSource(ints = {0, UNWRITTEN_BODY_BYTES})
        void shouldLearnOfAResetBeforeTheReaderGoesOn(final int bodyBytes) throws Exception {
            mTarget.sendAndReadSlowly("POST", bodyBytes, ENDLESS_DELAY_MILLIS);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.write(socket, CHUNKED_HEAD + "1\r\na\r\n".repeat(PARTS));
                ScriptedTarget.reset(socket);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.BROKEN);
            assertThat(mTarget.remainingConnections()).isZero();
        }
    }

    @Nested
    final class LeftUnread {
        private void assertGivenUpAfter(final String rest) throws Exception {
            mTarget.send("GET", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(
                        socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" + rest);
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
            assertThat(mTarget.remainingConnections()).isZero();
        }

        @Test
        void shouldGiveUpTheConnectionAfterGarbage() throws Exception {
            assertGivenUpAfter("\u0000\u0001 garbage\r\n\r\n");
        }

        // Guards against: the pool counts a connection for ever that the target closed while parts
        // of a response were unread, until it opens no more and the target counts as unreachable.
        @Test
        void shouldGiveUpTheConnectionAfterAnotherResponse() throws Exception {
            assertGivenUpAfter(UNFRAMED + UNFRAMED);
        }

        @Test
        void shouldGiveUpTheConnectionOfAnAbortedExchange() throws Exception {
            mTarget.sendAndAbortAtFirstPart();
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "1\r\na\r\n".repeat(40)
                                + "0\r\n\r\n");
            }
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.ABORTED);
            assertThat(mTarget.remainingConnections()).isZero();
        }
    }

    // Guards against: bytes after a whole response stay in the connection and spoil the response
    // to the next request on it.
    @Nested
    final class LeftOver {
        private static final String LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        private static final String CHUNKED =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "5\r\nwhole\r\n0\r\n\r\n";
        private static final String NO_BODY = "HTTP/1.1 204 No Content\r\n\r\n";
        private static final int LATER_MILLIS = 20;

        private static Stream<Arguments> restsByResponse() {
            return Stream.of(LENGTH, CHUNKED, NO_BODY)
                    .flatMap(
                            response ->
                                    Stream.of(
                                                    "m",
                                                    "more",
                                                    "\r\n",
                                                    "HTTP/1.1 200 OK\r\nContent-Le",
                                                    "\u0000\u0001 garbage\r\n\r\n",
                                                    response,
                                                    response + "more")
                                            .map(rest -> Arguments.of(response, rest)));
        }

        private void assertClosed(final Socket socket) throws Exception {
            assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
            assertThat(mTarget.remainingConnections()).isZero();
            assertThat(ScriptedTarget.awaitRequest(socket, LATER_MILLIS)).isFalse();
        }

        @ParameterizedTest
        @MethodSource("restsByResponse")
        void shouldCloseTheConnection(final String response, final String rest) throws Exception {
            mTarget.send("GET", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, response + rest);
                assertClosed(socket);
            }
        }

        @ParameterizedTest
        @MethodSource("restsByResponse")
        void shouldCloseTheIdleConnection(final String response, final String rest)
                throws Exception {
            mTarget.send("GET", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, response);
                TimeUnit.MILLISECONDS.sleep(LATER_MILLIS);
                ScriptedTarget.write(socket, rest);
                assertClosed(socket);
            }
        }

        @Test
        void shouldCloseTheConnectionAfterAResponseToHead() throws Exception {
            mTarget.send("HEAD", 0);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, LENGTH);
                assertClosed(socket);
            }
        }

        @Test
        void shouldCloseTheConnectionOfASlowReader() throws Exception {
            mTarget.sendAndReadSlowly("GET", 0, LATER_MILLIS);
            try (Socket socket = mTarget.acceptRequest()) {
                ScriptedTarget.readAvailable(socket);
                ScriptedTarget.write(socket, CHUNKED + "more");
                assertClosed(socket);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"GET", "HEAD", "POST"})
        void shouldKeepTheConnectionWithoutARest(final String method) throws Exception {
            final String body = method.equals("HEAD") ? "" : "whole";
            for (int i = 0; i < 3; i++) {
                mTarget.send(method, 0);
            }
            try (Socket first = mTarget.acceptRequest();
                    Socket second = mTarget.acceptRequest();
                    Socket third = mTarget.acceptRequest()) {
                for (final Socket socket : List.of(first, second, third)) {
                    ScriptedTarget.readAvailable(socket);
                    ScriptedTarget.write(
                            socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body);
                    assertThat(mTarget.end()).isEqualTo(ScriptedTarget.COMPLETE);
                }
                TimeUnit.MILLISECONDS.sleep(LATER_MILLIS);
                assertThat(mTarget.openConnections()).isEqualTo(3);
            }
        }
    }
}
