package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A caller that leaves while its body waits for credit. */
final class CallerGoneTest {
    private static final String CATALOGUE = "schema: 1\nservices:\n- {service: s, owner: o}\n";
    private static final int FITTING_BYTES = CallOpener.INITIAL_CREDIT_BYTES / 2;
    private static final int CHUNK_BYTES = 1_024;
    private static final int PAUSE_MILLIS = 50;
    private static final long NOTICED_MILLIS = 1_000;

    private final CountDownLatch mAdmitted = new CountDownLatch(1);
    private final CountDownLatch mCancelled = new CountDownLatch(1);
    private Transport mTransport;
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mTransport = Transport.of(1);
        final Catalogue catalogue = CatalogueReader.read("test", CATALOGUE).orThrow();
        mServer =
                HttpServer.bind(
                        mTransport,
                        new InetSocketAddress("127.0.0.1", 0),
                        () -> catalogue,
                        (route, head, executor, sink) -> {
                            sink.onAdmitted(TargetLoad.ABSENT);
                            mAdmitted.countDown();
                            return new StuckCall();
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

    /** Takes the body and gives no credit. */
    private final class StuckCall implements BodySink {
        @Override
        public void data(final ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void end() {
            // The target works on the call.
        }

        @Override
        public void cancel() {
            mCancelled.countDown();
        }

        @Override
        public void credit(final int bytes) {
            // There is no response.
        }
    }

    // Guards against: the end of a caller's connection is lost with the unread parts of its body,
    // so that its call runs on until its deadline.
    @ParameterizedTest
    @ValueSource(ints = {FITTING_BYTES, CallOpener.INITIAL_CREDIT_BYTES * 2})
    void shouldBeNoticedWhateverIsUnread(final int bodyBytes) throws Exception {
        final String chunk =
                Integer.toHexString(CHUNK_BYTES) + "\r\n" + "a".repeat(CHUNK_BYTES) + "\r\n";
        final String request =
                "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk.repeat(bodyBytes / CHUNK_BYTES);
        try (Socket socket = new Socket("127.0.0.1", mServer.address().getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            assertThat(mAdmitted.await(NOTICED_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        assertThat(mCancelled.await(NOTICED_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(mServer.exchanges()).isZero();
        assertThat(mServer.connections()).isZero();
    }
}
