package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerServer;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Callers pause between the head and the body of an upload. Meanwhile the gates that have admitted
 * it are lost, and others are silent.
 */
final class LostBeginningTest {
    private static final int UPLOADS = 12;
    private static final long LAST_PART_MILLIS = 500;

    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private final AtomicInteger mAdmitted = new AtomicInteger();
    private final AtomicInteger mSilenced = new AtomicInteger();
    private final Transport mLostTransport = Transport.of(1);
    private final Transport mSilentTransport = Transport.of(1);
    private final CountDownLatch mFirstPart = new CountDownLatch(1);
    private final CountDownLatch mLastPart = new CountDownLatch(1);
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            mBodies.put(request.id(), request.body());
                            request.answer("stored");
                        });
        mNode = PlatformNode.beside(mTarget);
        mNode.beat("draining", 2);
        announceGate("lost", mLostTransport, this::admit);
        awaitTargets(1);
    }

    private void awaitTargets(final int count) {
        Fleet.await(() -> mNode.node().targetCount("desk") == count);
    }

    @AfterEach
    void stop() throws Exception {
        mLostTransport.close();
        mSilentTransport.close();
        mNode.close();
        mTarget.close();
    }

    private void announceGate(
            final String host, final Transport transport, final CallOpener opener) {
        final PeerServer server =
                PeerServer.bind(
                        transport,
                        Fleet.loopback(),
                        new NodeIdentity(host, "dc-1", StubGate.INCARNATION),
                        opener,
                        request -> {
                            throw new IllegalStateException("gates get calls only");
                        });
        StubGate.announce(transport, mNode.node(), host, server.address(), "desk");
    }

    private BodySink admit(final CallHead head, final ResponseSink sink) {
        mAdmitted.incrementAndGet();
        sink.onAdmitted(TargetLoad.of(1, 0, 32, 1_000, true));
        return new StubGate.EndlessCall();
    }

    private BodySink sayNothing(final CallHead head, final ResponseSink sink) {
        mSilenced.incrementAndGet();
        return new StubGate.EndlessCall();
    }

    private String upload(final String id) {
        try (Socket socket = mNode.connect()) {
            write(
                    socket,
                    "POST /unsafe/"
                            + id
                            + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                            + id
                            + "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
            mFirstPart.await();
            write(socket, "6\r\nbegin-\r\n");
            mLastPart.await();
            write(socket, "3\r\nend\r\n0\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "cut: " + e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    // Guards against: an upload in chunks runs without its beginning, which was sent to a gate that
    // had not admitted it.
    @Test
    void shouldNeverRunAnUploadWithoutItsBeginning() throws Exception {
        final List<CompletableFuture<String>> uploads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            final String id = "u" + i;
            final CompletableFuture<String> upload = new CompletableFuture<>();
            Thread.ofPlatform().daemon().start(() -> upload.complete(upload(id)));
            uploads.add(upload);
        }
        Fleet.await(() -> mAdmitted.get() == UPLOADS);
        announceGate("silent-1", mSilentTransport, this::sayNothing);
        announceGate("silent-2", mSilentTransport, this::sayNothing);
        awaitTargets(3);
        mLostTransport.close();
        Fleet.await(() -> mSilenced.get() > 0);
        mFirstPart.countDown();
        mNode.beat("ready", 3);
        TimeUnit.MILLISECONDS.sleep(LAST_PART_MILLIS);
        mLastPart.countDown();
        for (final CompletableFuture<String> upload : uploads) {
            assertThat(upload.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
        }
        assertThat(mBodies).hasSize(UPLOADS);
        assertThat(mBodies.values()).containsOnly("begin-end");
    }
}
