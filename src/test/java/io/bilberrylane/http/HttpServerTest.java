package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.net.Transport;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class HttpServerTest {
    private static final String CATALOGUE =
            "schema: 1\nservices:\n- {service: s, owner: o, limits: {bodyBytes: 100000}}\n";

    private Transport mTransport;
    private HttpServer mServer;

    @BeforeAll
    void start() {
        mTransport = Transport.of(1);
        final Catalogue catalogue = CatalogueReader.read("test", CATALOGUE).orThrow();
        mServer =
                HttpServer.bind(
                        mTransport,
                        new InetSocketAddress("127.0.0.1", 0),
                        () -> catalogue,
                        (route, head, executor, sink) -> new EchoCall(head, sink),
                        Optional.empty(),
                        "",
                        HeaderNames.OWN,
                        "",
                        IngressMetrics.NONE);
    }

    @AfterAll
    void stop() {
        mServer.close();
        mTransport.close();
    }

    /** Admits the call at once and responds with the length of the body. */
    private static final class EchoCall implements BodySink {
        private final CallHead mHead;
        private final ResponseSink mSink;
        private int mLength;

        EchoCall(final CallHead head, final ResponseSink sink) {
            mHead = head;
            mSink = sink;
            if (head.hasBody()) {
                sink.onAdmitted(TargetLoad.ABSENT);
            } else {
                end();
            }
        }

        @Override
        public void data(final ByteBuf bytes) {
            mLength += bytes.readableBytes();
            mSink.onCredit(bytes.readableBytes());
            bytes.release();
        }

        @Override
        public void end() {
            final byte[] body = ("got " + mLength).getBytes(StandardCharsets.UTF_8);
            final int status = mHead.uri().equals("/empty") ? 204 : 200;
            final List<HeaderField> headers =
                    mHead.uri().equals("/unsized") || mHead.uri().equals("/broken")
                            ? List.of()
                            : List.of(new HeaderField("Content-Length", "" + body.length));
            mSink.onHead(ResponseHead.of(status, headers));
            if (Headers.mayHaveBody(mHead.method(), status)) {
                mSink.onData(Unpooled.wrappedBuffer(body));
            }
            if (mHead.uri().equals("/broken")) {
                mSink.onFailed(ErrorCode.TARGET_FAILED, CallPhase.STARTED);
                return;
            }
            mSink.onEnd(TargetLoad.ABSENT);
        }

        @Override
        public void cancel() {
            // There is nothing to cancel.
        }

        @Override
        public void credit(final int bytes) {
            // The response fits into the initial credit.
        }
    }

    private String exchange(final String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mServer.address().getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            final InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String unescape(final String text) {
        return text.replace("~", "\r\n");
    }

    @Nested
    class Syntax {
        @ParameterizedTest(name = "{0}")
        @CsvSource(
                delimiter = '|',
                value = {
                    "plain | GET / HTTP/1.1~Host: s~~ | 200",
                    "empty response | GET /empty HTTP/1.1~Host: s~~ | 204",
                    "sized body | POST / HTTP/1.1~Host: s~Content-Length: 3~~abc | 200",
                    "chunked body | POST / HTTP/1.1~Host: s~Transfer-Encoding: chunked"
                            + "~~3~abc~0~~ | 200",
                    "unknown host | GET / HTTP/1.1~Host: other~~ | 404",
                    "no host | GET / HTTP/1.1~~ | 400",
                    "two hosts | GET / HTTP/1.1~Host: s~Host: s~~ | 400",
                    "length and chunked coding | POST / HTTP/1.1~Host: s~Content-Length: 3"
                            + "~Transfer-Encoding: chunked~~3~abc~0~~ | 400",
                    "two lengths | POST / HTTP/1.1~Host: s~Content-Length: 3"
                            + "~Content-Length: 4~~abcd | 400",
                    "negative length | POST / HTTP/1.1~Host: s~Content-Length: -1~~ | 400",
                    "signed length | POST / HTTP/1.1~Host: s~Content-Length: +3~~abc | 400",
                    "folded line | GET / HTTP/1.1~Host: s~A: b~ c~~ | 400",
                    "space before colon | GET / HTTP/1.1~Host : s~~ | 400",
                    "bad chunk size | POST / HTTP/1.1~Host: s~Transfer-Encoding: chunked"
                            + "~~zz~abc~0~~ | 400",
                    "unknown coding | POST / HTTP/1.1~Host: s~Transfer-Encoding: gzip~~ | 400",
                    "coding list | POST / HTTP/1.1~Host: s~Transfer-Encoding: gzip, chunked"
                            + "~~0~~ | 400",
                    "other version | GET / HTTP/3.0~Host: s~~ | 400",
                    "connect | CONNECT s:1 HTTP/1.1~Host: s~~ | 400",
                    "absolute-form target | GET http://s/ HTTP/1.1~Host: s~~ | 400",
                    "two idempotency keys | POST / HTTP/1.1~Host: s~Idempotency-Key: a"
                            + "~Idempotency-Key: b~~ | 400",
                    "long body | POST / HTTP/1.1~Host: s~Content-Length: 100001~~ | 413"
                })
        void shouldReturnTheExpectedStatusWhenARequestIsReceived(
                final String name, final String request, final int status) throws IOException {
            final String response = exchange(unescape(request));
            assertThat(response).startsWith("HTTP/1.1 " + status + " ");
            if (status >= 400) {
                final String outcome = name.equals("bad chunk size") ? "unknown" : "not-run";
                assertThat(response).containsIgnoringCase("bilberrylane-outcome: " + outcome);
                assertThat(response).containsIgnoringCase("bilberrylane-error: ");
            }
        }

        @Test
        void shouldRejectTheHeadWhenItIsTooLong() throws IOException {
            final String response =
                    exchange("GET / HTTP/1.1\r\nHost: s\r\nA: " + "x".repeat(40_000) + "\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 431 ");
        }

        @Test
        void shouldRejectTheBodyWhenItsChunksExceedTheLimit() throws IOException {
            final String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
            final String response =
                    exchange(
                            "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + chunk.repeat(4)
                                    + "0\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 413 ");
        }
    }

    @Nested
    class Connections {
        @Test
        void shouldRespondInOrderWhenRequestsArePipelined() throws IOException {
            final String response =
                    exchange(
                            unescape(
                                    "POST / HTTP/1.1~Host: s~Content-Length: 1~~a"
                                            + "POST / HTTP/1.1~Host: s~Content-Length: 2~~ab"
                                            + "GET / HTTP/1.1~Host: s~Connection: close~~"));
            assertThat(response).containsSubsequence("got 1", "got 2", "got 0");
        }

        @Test
        void shouldNotReadASecondRequestWhenTheFirstIsMalformed() throws IOException {
            final String response =
                    exchange(unescape("GET / HTTP/1.1~Host: s~A: b~ c~~GET / HTTP/1.1~Host: s~~"));
            assertThat(response).contains("400").doesNotContain("got");
        }

        @Test
        void shouldSendNoBodyWhenTheMethodIsHead() throws IOException {
            final String response =
                    exchange(unescape("HEAD / HTTP/1.1~Host: s~Connection: close~~"));
            assertThat(response).containsIgnoringCase("content-length: 5").endsWith("\r\n\r\n");
        }

        @Test
        void shouldSendChunksWhenTheResponseLengthIsUnknown() throws IOException {
            final String response =
                    exchange(unescape("GET /unsized HTTP/1.1~Host: s~Connection: close~~"));
            assertThat(response)
                    .containsIgnoringCase("transfer-encoding: chunked")
                    .contains("got 0");
        }

        @Test
        void shouldSend100ContinueWhenTheCallerExpectsIt() throws IOException {
            final String response =
                    exchange(
                            unescape(
                                    "POST / HTTP/1.1~Host: s~Expect: 100-continue"
                                            + "~Content-Length: 2~~ab"));
            assertThat(response).startsWith("HTTP/1.1 100 ").contains("got 2");
        }

        @Test
        void shouldCloseTheConnectionWhenTheVersionIsHttp10() throws IOException {
            final String response = exchange(unescape("GET / HTTP/1.0~Host: s~~"));
            assertThat(response)
                    .startsWith("HTTP/1.1 200")
                    .containsIgnoringCase("connection: close");
        }

        // Guards against: a response that breaks off looks complete to a caller without chunks.
        @Test
        void shouldResetTheConnectionWhenAResponseWithoutLengthBreaksOff() {
            assertThatThrownBy(() -> exchange(unescape("GET /broken HTTP/1.0~Host: s~~")))
                    .isInstanceOf(SocketException.class)
                    .hasMessageContaining("reset");
        }

        @Test
        void shouldNotEndTheChunksWhenAResponseBreaksOff() throws IOException {
            final String response = exchange(unescape("GET /broken HTTP/1.1~Host: s~~"));
            assertThat(response).contains("got 0").doesNotContain("\r\n0\r\n");
        }
    }
}
