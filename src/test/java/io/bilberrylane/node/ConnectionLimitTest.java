package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** A healthy target whose connections, fewer than its slots, are all in use. */
final class ConnectionLimitTest {
    private static final int LIMIT = 3;
    private static final int DEADLINE_MILLIS = 500;
    private static final int PAUSE_MILLIS = 100;
    private static final long FREE_WITHIN_NANOS = 1_000_000_000L;

    private final Transport mTransport = Transport.of(1);
    private final CountDownLatch mEnd = new CountDownLatch(1);
    private final CountDownLatch mHeld = new CountDownLatch(LIMIT);
    private final List<Socket> mCallers = new ArrayList<>();
    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private final Logger mDecisions = (Logger) LoggerFactory.getLogger("decision");
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mLines.start();
        mDecisions.addAppender(mLines);
        mTarget = PlatformTarget.start(this::answer);
        mNode = PlatformNode.beside(mTarget, LIMIT);
    }

    @AfterEach
    void stop() throws Exception {
        mDecisions.detachAppender(mLines);
        for (final Socket caller : mCallers) {
            caller.close();
        }
        mTransport.close();
        mNode.close();
        mTarget.close();
    }

    private void answer(final PlatformTarget.Request request)
            throws IOException, InterruptedException {
        if (request.id().equals("break")) {
            throw new IOException("closed by the script");
        }
        if (request.id().startsWith("hold")) {
            mHeld.countDown();
            mEnd.await();
        }
        request.answer("whole");
    }

    private void holdEveryConnection() throws Exception {
        for (int i = 0; i < LIMIT; i++) {
            final Socket caller = mNode.connect();
            mCallers.add(caller);
            caller.getOutputStream()
                    .write(
                            PlatformNode.request("GET", "/safe/hold", "hold-" + i)
                                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        assertThat(mHeld.await(2, TimeUnit.SECONDS)).isTrue();
    }

    /** The ingress offers the call again until its time is over. */
    private void refuseAtTheLimit() throws Exception {
        final String request =
                PlatformNode.request("POST", "/unsafe/a", "a")
                        .replace("Deadline-Ms: 4000", "Deadline-Ms: " + DEADLINE_MILLIS);
        assertThat(mNode.exchange(request)).startsWith("HTTP/1.1 503");
    }

    private List<ILoggingEvent> lines(final String event) {
        return List.copyOf(mLines.list).stream()
                .filter(line -> line.getMessage().equals(event))
                .toList();
    }

    private double metric(final String name) {
        final String page =
                SimpleHttpClient.of(mTransport)
                        .call(mNode.node().operatorAddress(), HttpMethod.GET, "/metrics", "", 2_000)
                        .join()
                        .body();
        return page.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    // Guards against: a call whose connection broke is blamed for a crash, because a later call
    // found no free connection.
    @Test
    void shouldNotBeTakenForACrash() throws Exception {
        assertThat(mNode.exchange(PlatformNode.request("POST", "/unsafe/break", "break")))
                .startsWith("HTTP/1.1 502");
        holdEveryConnection();
        refuseAtTheLimit();
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        assertThat(lines("crash-noted")).isEmpty();
    }

    @Test
    void shouldBeVisible() throws Exception {
        holdEveryConnection();
        refuseAtTheLimit();
        assertThat(lines("connection-limit")).hasSize(1);
        assertThat(lines("connection-limit").get(0).getArgumentArray())
                .extracting(Object::toString)
                .contains("limit=" + LIMIT, "counted=" + LIMIT, "open=" + LIMIT, "idle=0");
        assertThat(metric("bilberrylane_target_connections_limit")).isEqualTo(LIMIT);
        assertThat(metric("bilberrylane_target_connections_counted")).isEqualTo(LIMIT);
        assertThat(metric("bilberrylane_target_connections_open")).isEqualTo(LIMIT);
        assertThat(metric("bilberrylane_target_connections_refused")).isPositive();
    }

    @Test
    void shouldServeAgainWhenAConnectionIsFree() throws Exception {
        holdEveryConnection();
        refuseAtTheLimit();
        mEnd.countDown();
        final long startNanos = System.nanoTime();
        while (mNode.node().openCounts().connectionsInUse() > 0
                && System.nanoTime() - startNanos < FREE_WITHIN_NANOS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(mNode.exchange(PlatformNode.request("POST", "/unsafe/b", "b")))
                .startsWith("HTTP/1.1 200");
    }
}
