package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.Transport;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs that end without a whole response. */
final class RunEndTest {
    private final Transport mTransport = Transport.of(1);
    private final CountDownLatch mRunning = new CountDownLatch(1);
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("whole"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mTransport.close();
        mNode.close();
        mTarget.close();
    }

    /** Returns the phase of the only call, as its gate keeps it. */
    private CallPhase phase() {
        final long incarnation = mNode.node().incarnation();
        final String callId = "node-1-" + Long.toString(incarnation, 36) + "-1";
        final CompletableFuture<Optional<PeerMessage.Reply>> reply = new CompletableFuture<>();
        PeerLinks.of(mTransport, new NodeIdentity("tester", "dc-1", 1))
                .request(
                        mNode.node().peerAddress(),
                        id -> new PeerMessage.OutcomeQuery(id, callId, incarnation),
                        2_000,
                        reply::complete);
        return ((PeerMessage.OutcomeReply) reply.join().orElseThrow()).phase();
    }

    // Guards against: a run that broke or was aborted stays in the gate's table of calls for ever.
    @Test
    void shouldBeRecordedWhenTheConnectionBreaks() throws Exception {
        mTarget.setScript(
                request -> {
                    throw new IOException("the target closes the connection");
                });
        assertThat(mNode.exchange(PlatformNode.request("POST", "/unsafe/a", "a")))
                .startsWith("HTTP/1.1 502");
        assertThat(phase()).isEqualTo(CallPhase.FINISHED);
    }

    @Test
    void shouldBeRecordedWhenTheCallerLeaves() throws Exception {
        mTarget.setScript(
                request -> {
                    mRunning.countDown();
                    request.socket().getInputStream().read();
                });
        try (Socket caller = mNode.connect()) {
            caller.getOutputStream()
                    .write(
                            PlatformNode.request("POST", "/safe/a", "a")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            mRunning.await();
        }
        Fleet.await(() -> phase() == CallPhase.FINISHED);
    }
}
