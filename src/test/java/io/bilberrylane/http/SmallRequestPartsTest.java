package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A caller sends a body in parts of one byte to a target that takes none of it. */
final class SmallRequestPartsTest {
    private static final String CATALOGUE =
            "schema: 1\nservices:\n- {service: s, owner: o, limits: {bodyBytes: 1000000}}\n";
    private static final String HEAD =
            "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PART = "1\r\na\r\n";

    /** As many parts may be on their way in one call and one direction. */
    private static final int MAX_PARTS = 64;

    private static final int SENT_PARTS = 1_000;
    private static final long SETTLE_MILLIS = 500;

    private final Transport mTransport = Transport.of(1);
    private final AtomicInteger mParts = new AtomicInteger();
    private HttpServer mServer;

    @BeforeEach
    void start() {
        final Catalogue catalogue = CatalogueReader.read("test", CATALOGUE).orThrow();
        mServer =
                HttpServer.bind(
                        mTransport,
                        new InetSocketAddress("127.0.0.1", 0),
                        () -> catalogue,
                        (route, head, executor, sink) -> {
                            sink.onAdmitted(TargetLoad.ABSENT);
                            return new Unread();
                        },
                        Optional.empty(),
                        "",
                        HeaderNames.OWN,
                        "",
                        IngressMetrics.NONE);
    }

    @AfterEach
    void stop() {
        mServer.close();
        mTransport.close();
    }

    /** A target that is at work and gives no credit. */
    private final class Unread implements BodySink {
        @Override
        public void data(final ByteBuf bytes) {
            bytes.release();
            mParts.incrementAndGet();
        }

        @Override
        public void end() {
            throw new AssertionError("the body has no end");
        }

        @Override
        public void cancel() {
            // The test has ended.
        }

        @Override
        public void credit(final int bytes) {
            // There is no response.
        }
    }

    private Socket connect() throws IOException {
        final Socket socket = new Socket("127.0.0.1", mServer.address().getPort());
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void shouldJoinThePartsOfARequestThatComeTogether() throws Exception {
        try (Socket caller = connect()) {
            write(caller, HEAD + PART.repeat(SENT_PARTS));
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            assertThat(mParts.get()).isBetween(1, MAX_PARTS);
        }
    }

    @Test
    void shouldBoundThePartsOfARequestThatComeOneByOne() throws Exception {
        try (Socket caller = connect()) {
            write(caller, HEAD);
            for (int i = 0; i < SENT_PARTS; i++) {
                write(caller, PART);
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertThat(mParts.get()).isBetween(1, MAX_PARTS);
        }
    }
}
