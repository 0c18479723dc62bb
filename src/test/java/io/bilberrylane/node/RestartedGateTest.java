package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.peer.PeerServer;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The process of a gate ends while its target runs calls, and a new process answers at its address
 * before the ingress notices, as after a pause of the ingress.
 */
final class RestartedGateTest {
    private static final int CALLS = 12;
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final String HOST = "restarted";

    private Fleet mFleet;
    private Transport mOldTransport;
    private PeerServer mOldGate;
    private final AtomicInteger mCallsAtOldGate = new AtomicInteger();

    @BeforeEach
    void start() {
        mFleet = Fleet.of(1, 1_000);
        mOldTransport = Transport.of(1);
        mOldGate =
                PeerServer.bind(
                        mOldTransport,
                        Fleet.loopback(),
                        new NodeIdentity(HOST, "dc-0", StubGate.INCARNATION),
                        this::startForever,
                        request -> {
                            throw new IllegalStateException("the old gate gets calls only");
                        });
    }

    @AfterEach
    void stop() {
        mOldTransport.close();
        mFleet.close();
    }

    private Node ingress() {
        return mFleet.mNodes.get(0);
    }

    /** Admits a call, which is in service at the target from then on. */
    private BodySink startForever(final CallHead head, final ResponseSink sink) {
        mCallsAtOldGate.incrementAndGet();
        sink.onAdmitted(TargetLoad.ABSENT);
        return new StubGate.EndlessCall();
    }

    private void announceOldGate() {
        StubGate.announce(mOldTransport, ingress(), HOST, mOldGate.address(), "calendar");
        Fleet.await(() -> ingress().targetCount("calendar") == 2);
    }

    private List<CompletableFuture<HttpReply>> callConcurrently(
            final HttpMethod method, final String body) {
        final List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(
                    SimpleHttpClient.of(mFleet.mTransport)
                            .call(
                                    ingress().callerAddress(),
                                    method,
                                    "/",
                                    body,
                                    TIMEOUT_MILLIS,
                                    "calendar"));
        }
        return calls;
    }

    /** Ends the old process once a new one has taken its address. */
    private void replaceGate() {
        final InetSocketAddress address = mOldGate.address();
        mOldGate.close();
        mFleet.startNode(HOST, "dc-0", address);
        mOldTransport.close();
    }

    // Guards against: a call that must not run twice is sent to a second target, or told to be
    // not run, because a gate answers for an earlier process.
    @ParameterizedTest
    @CsvSource({"DELETE, ''", "POST, body"})
    void shouldNotRunACallAgainWhenItsGateWasStartedAgain(final String method, final String body)
            throws Exception {
        announceOldGate();
        final List<CompletableFuture<HttpReply>> calls =
                callConcurrently(HttpMethod.valueOf(method), body);
        Fleet.await(() -> mCallsAtOldGate.get() > 0);
        TimeUnit.MILLISECONDS.sleep(100);
        replaceGate();
        int unknown = 0;
        for (final CompletableFuture<HttpReply> call : calls) {
            final HttpReply reply = call.join();
            unknown += reply.status() == 200 ? 0 : 1;
            assertThat(reply.body()).doesNotContain("not-run");
        }
        assertThat(unknown).isEqualTo(mCallsAtOldGate.get());
    }

    @Test
    void shouldSayThatACallNeverRanWhenItsOwnProcessHasNotSeenIt() {
        final Node gate = ingress();
        assertThat(outcomeAt(gate, "unseen", gate.incarnation())).isEqualTo(CallPhase.NEVER);
    }

    @ParameterizedTest
    @CsvSource({"1000", "0"})
    void shouldPromiseNothingWhenTheCallWasSentToAnotherProcess(final long incarnation) {
        assertThat(outcomeAt(ingress(), "unseen", incarnation)).isEqualTo(CallPhase.STARTED);
        assertThat(outcomeAt(ingress(), "unseen", incarnation)).isEqualTo(CallPhase.STARTED);
    }

    private CallPhase outcomeAt(final Node gate, final String callId, final long incarnation) {
        final CompletableFuture<Optional<PeerMessage.Reply>> reply = new CompletableFuture<>();
        PeerLinks.of(mOldTransport, new NodeIdentity("tester", "dc-0", 1))
                .request(
                        gate.peerAddress(),
                        id -> new PeerMessage.OutcomeQuery(id, callId, incarnation),
                        TIMEOUT_MILLIS,
                        reply::complete);
        return ((PeerMessage.OutcomeReply) reply.join().orElseThrow()).phase();
    }
}
