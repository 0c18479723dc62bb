package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.KeyDigest;
import io.bilberrylane.net.SimpleHttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers with keys on the project's own interface, whose target is beside another node. */
final class OwnOrganisationsTest {
    private static final String CATALOGUE =
            """
            schema: 1
            services:
              - {service: desk, owner: tests}
            """;
    private static final String ANNOUNCEMENT =
            """
            {"service": "desk", "address": "%s", "slots": 6, "incarnation": 1000,
             "leaseMillis": 600000}
            """;

    private final BlockingQueue<String> mHeads = new LinkedBlockingQueue<>();
    private final Fleet mFleet = new Fleet();
    private PlatformTarget mTarget;
    private Node mGate;
    private Node mIngress;

    @BeforeEach
    void start() throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            mHeads.add(request.head());
                            request.answer("served");
                        });
        mGate = mFleet.startNode("gate", "dc-1", Fleet.loopback());
        mIngress = mFleet.startNode("ingress", "dc-2", Fleet.loopback());
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    private void apply(final String text) {
        final long revision = mFleet.store().apply(text, "tests", -1).revision();
        Fleet.await(() -> mGate.revision() == revision && mIngress.revision() == revision);
    }

    private void announceTarget() {
        SimpleHttpClient.of(mFleet.mTransport)
                .call(
                        mGate.targetAddress(),
                        HttpMethod.PUT,
                        "/.bilberrylane/announcement",
                        ANNOUNCEMENT.formatted(mTarget.address()),
                        2_000)
                .join();
        Fleet.await(() -> mIngress.targetCount("desk") == 1);
    }

    private String exchange(final String key) {
        try {
            return PlatformNode.exchange(
                    mIngress,
                    "GET /1 HTTP/1.1\r\nHost: desk\r\nbilberrylane-ORGANISATION: claimed\r\n"
                            + "Authorization: Bearer "
                            + key
                            + "\r\nConnection: close\r\n\r\n");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private List<String> fieldsAtTarget() throws InterruptedException {
        final String head = mHeads.poll(5, TimeUnit.SECONDS);
        assertThat(head).isNotNull();
        return Arrays.stream(head.toLowerCase(Locale.ROOT).split("\r\n"))
                .filter(line -> line.contains("organisation") || line.contains("authorization"))
                .toList();
    }

    // Guards against: a node that has no configuration says that a key is unknown; and a key
    // that is not effective, or not gone, at a node that does not watch the platform.
    @Test
    void shouldFollowTheConfiguration() throws Exception {
        assertThat(exchange("plain-1")).startsWith("HTTP/1.1 503").contains("not-ready");
        final String digest = "sha256:" + KeyDigest.ofKey("k-2").hex();
        final String text = CATALOGUE + "organisations:\n  - {name: north, keys: [plain-1]}\n";
        apply(text);
        announceTarget();
        assertThat(exchange("plain-1")).startsWith("HTTP/1.1 200");
        assertThat(fieldsAtTarget()).containsExactly("bilberrylane-organisation: north");
        assertThat(exchange("k-2").toLowerCase(Locale.ROOT))
                .startsWith("http/1.1 401")
                .contains("www-authenticate: bearer realm=", "unknown-key", "not-run");
        assertThat(mFleet.store().read().text()).isEqualTo(text);

        apply(CATALOGUE + "organisations:\n  - {name: south, keys: ['" + digest + "']}\n");
        assertThat(exchange("plain-1")).startsWith("HTTP/1.1 401");
        assertThat(exchange(digest)).startsWith("HTTP/1.1 401");
        assertThat(exchange("k-2")).startsWith("HTTP/1.1 200");
        assertThat(fieldsAtTarget()).containsExactly("bilberrylane-organisation: south");

        apply(CATALOGUE);
        assertThat(exchange("other")).startsWith("HTTP/1.1 200");
        assertThat(fieldsAtTarget())
                .containsExactlyInAnyOrder(
                        "bilberrylane-organisation: claimed", "authorization: bearer other");
        assertThat(mHeads).isEmpty();
    }

    private String post(final String key, final String body) throws IOException {
        return PlatformNode.exchange(
                mIngress,
                "POST /1 HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: 1\r\n"
                        + "Authorization: Bearer "
                        + key
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\nConnection: close\r\n\r\n"
                        + body);
    }

    // Guards against: a caller gets the response to the request of another organisation, which
    // chose the same idempotency key, and its own request never runs.
    @Test
    void shouldKeepTheIdempotencyKeysOfOrganisationsApart() throws Exception {
        apply(
                CATALOGUE
                        + "organisations:\n"
                        + "  - {name: north, keys: [k-1]}\n"
                        + "  - {name: south, keys: [k-2]}\n");
        announceTarget();
        for (final String key : List.of("k-1", "k-2", "k-1")) {
            assertThat(post(key, "booking")).startsWith("HTTP/1.1 200").endsWith("served");
        }
        assertThat(fieldsAtTarget()).containsExactly("bilberrylane-organisation: north");
        assertThat(fieldsAtTarget()).containsExactly("bilberrylane-organisation: south");
        assertThat(mHeads).isEmpty();
    }
}
