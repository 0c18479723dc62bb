package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.standin.PlatformFaults;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Sends calls with idempotency keys through real nodes on loopback while the platform fails. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class KeyedCallsTest {
    private static final AtomicInteger KEYS = new AtomicInteger();

    private final HttpClient mClient = HttpClient.newHttpClient();
    private Fleet mFleet;

    @BeforeAll
    void start() {
        mFleet = Fleet.of(3, 2_000);
    }

    @AfterEach
    void clearFaults() {
        mFleet.mPlatform.setFaults(PlatformFaults.NONE);
    }

    @AfterAll
    void stop() {
        mFleet.close();
    }

    private static String newKey() {
        return "k" + KEYS.incrementAndGet();
    }

    private HttpRequest request(final int node, final String key, final String body) {
        return request(mFleet.mNodes.get(node), key, body);
    }

    private static HttpRequest request(final Node node, final String key, final String body) {
        final InetSocketAddress address = node.callerAddress();
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + address.getPort() + "/bookings"))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Bilberrylane-Service", "calendar")
                .header("Idempotency-Key", key)
                .header("X-Nonce", "n" + key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpResponse<String> send(final int node, final String key, final String body)
            throws IOException, InterruptedException {
        return mClient.send(request(node, key, body), HttpResponse.BodyHandlers.ofString());
    }

    private long runCount(final String key) {
        return mFleet.mTargets.stream()
                .mapToLong(
                        target -> target.record().split("\"key\":\"" + key + "\"", -1).length - 1L)
                .sum();
    }

    private static String outcome(final HttpResponse<String> response) {
        return response.headers().firstValue("Bilberrylane-Outcome").orElse("");
    }

    @Test
    void shouldReplayTheResponseWhenAKeyIsSentAgainThroughAnyNode() throws Exception {
        final String key = newKey();
        final HttpResponse<String> first = send(0, key, "body");
        assertThat(first.statusCode()).isEqualTo(200);
        for (int node = 0; node < 3; node++) {
            final HttpResponse<String> replayed = send(node, key, "body");
            assertThat(replayed.statusCode()).isEqualTo(200);
            assertThat(replayed.body()).isEqualTo(first.body());
            assertThat(replayed.headers().firstValue("Bilberrylane-Replayed")).contains("true");
        }
        assertThat(runCount(key)).isEqualTo(1);
    }

    @Test
    void shouldReplayTheResponseWhenHeadAndBodyArriveInOneSegment() throws Exception {
        for (int round = 0; round < 6; round++) {
            final String key = newKey();
            assertThat(sendInOneSegment(mFleet.mNodes.get(0), key)).startsWith("HTTP/1.1 200");
            for (int resend = 0; resend < 9; resend++) {
                assertThat(sendInOneSegment(mFleet.mNodes.get(resend % 3), key))
                        .startsWith("HTTP/1.1 200")
                        .containsIgnoringCase("replayed: true");
            }
            assertThat(runCount(key)).isEqualTo(1);
        }
    }

    private static String sendInOneSegment(final Node node, final String key) throws IOException {
        final String request =
                "POST / HTTP/1.1\r\nHost: calendar\r\nConnection: close\r\nIdempotency-Key: "
                        + key
                        + "\r\nContent-Length: 4\r\n\r\nbody";
        try (Socket socket = new Socket("127.0.0.1", node.callerAddress().getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void shouldRunOnceWhenAKeyIsSentThroughAllNodesAtTheSameMoment() {
        for (int round = 0; round < 10; round++) {
            final String key = newKey();
            final List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                responses.add(
                        mClient.sendAsync(
                                request(i % 3, key, "body"), HttpResponse.BodyHandlers.ofString()));
            }
            final List<HttpResponse<String>> all =
                    responses.stream().map(CompletableFuture::join).toList();
            assertThat(runCount(key)).isEqualTo(1);
            assertThat(all).anyMatch(response -> response.statusCode() == 200);
            assertThat(all)
                    .allMatch(
                            response ->
                                    response.statusCode() == 200
                                            || outcome(response).equals("unknown"));
        }
    }

    @Test
    void shouldRefuseWhenAKeyIsUsedWithAnotherBody() throws Exception {
        final String key = newKey();
        send(0, key, "body");
        final HttpResponse<String> longer = send(1, key, "longer body");
        assertThat(longer.statusCode()).isEqualTo(422);
        final HttpResponse<String> sameLength = send(2, key, "ydob");
        assertThat(sameLength.statusCode()).isEqualTo(422);
        assertThat(runCount(key)).isEqualTo(1);
    }

    @Test
    void shouldRunNothingWhenTheClaimCannotBeRecorded() throws Exception {
        final String key = newKey();
        mFleet.mPlatform.setFaults(new PlatformFaults(true, 0, 0, false, 0, 0));
        final HttpResponse<String> refused = send(0, key, "body");
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(outcome(refused)).isEqualTo("unknown");
        assertThat(runCount(key)).isZero();
        mFleet.mPlatform.setFaults(PlatformFaults.NONE);
        assertThat(send(1, key, "body").statusCode()).isEqualTo(200);
        assertThat(runCount(key)).isEqualTo(1);
    }

    @Test
    void shouldRunOnceWhenThePlatformLosesResponses() throws Exception {
        mFleet.mPlatform.setFaults(new PlatformFaults(false, 0, 60, false, 0, 0));
        for (int i = 0; i < 10; i++) {
            final String key = newKey();
            for (int resend = 0; resend < 4; resend++) {
                send(resend % 3, key, "body");
            }
            assertThat(runCount(key)).isLessThanOrEqualTo(1);
        }
    }
}
