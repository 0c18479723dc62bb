package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Features of the project's own interface do not act on requests of the users' platform. */
final class PlatformInterfaceTest {
    private final List<PlatformTarget.Request> mRuns = new CopyOnWriteArrayList<>();
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget =
                PlatformTarget.start(
                        request -> {
                            mRuns.add(request);
                            request.answer("answer to " + request.id());
                        });
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    private static String request(
            final String method, final String host, final String path, final String fields) {
        return PlatformNode.request(method, path, "id-1")
                .replace("desk.example", host)
                .replace("Connection: close\r\n", fields + "Connection: close\r\n");
    }

    @Nested
    final class Routes {
        // Guards against: a request that no route allows is run by a service, because its host is
        // the name of the service (ROUTE), and repeated because of its method (TWICE).
        @ParameterizedTest
        @CsvSource({
            "GET, desk, /never/1",
            "DELETE, desk, /never/1",
            "GET, DESK, /safe/1",
            "GET, desk:80, /safe/1",
            "GET, desk.example, /never/1"
        })
        void shouldNotRouteTheNameOfAService(
                final String method, final String host, final String path) throws IOException {
            final String answer = mNode.exchange(request(method, host, path, ""));
            assertThat(answer).startsWith("HTTP/1.1 404");
            assertThat(mRuns).isEmpty();
        }

        // Guards against: a field of the project's own interface sends a request to a service
        // that its route does not name (ROUTE).
        @Test
        void shouldNotSelectTheServiceByAField() throws IOException {
            final String fields = "Bilberrylane-Service: desk\r\n";
            final String unrouted =
                    mNode.exchange(request("GET", "nowhere.example", "/safe/1", fields));
            assertThat(unrouted).startsWith("HTTP/1.1 404");
            assertThat(mRuns).isEmpty();
        }

        // Guards against: a field that only the targets of the platform know takes a request off
        // its route.
        @Test
        void shouldForwardTheFieldThatNamesAServiceOnTheOwnInterface() throws IOException {
            final String fields = "Bilberrylane-Service: other\r\n";
            final String routed = mNode.exchange(request("GET", "desk.example", "/safe/1", fields));
            assertThat(routed).startsWith("HTTP/1.1 200");
            assertThat(mRuns).hasSize(1);
            assertThat(mRuns.get(0).field("Bilberrylane-Service")).isEqualTo("other");
        }
    }

    @Nested
    final class IdempotencyKey {
        private static String post(final String id, final String fields) {
            return request("POST", "desk.example", "/unsafe/1", fields).replace("id-1", id);
        }

        // Guards against: a caller gets the response to another request, which sent the same
        // value in a field that only the targets of the platform know, and its own never runs
        // (MIXED).
        @Test
        void shouldRunEachRequestWhateverItsKey() throws IOException {
            final String fields = "Idempotency-Key: 1\r\n";
            for (final String id : List.of("id-1", "id-2")) {
                assertThat(mNode.exchange(post(id, fields)))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("answer to " + id);
            }
            assertThat(mRuns)
                    .extracting(PlatformTarget.Request::id)
                    .containsExactly("id-1", "id-2");
            assertThat(mRuns.get(0).field("Idempotency-Key")).isEqualTo("1");
        }

        // Guards against: a proper request is rejected with 400 because of a field that only the
        // targets of the platform know (DENIED).
        @Test
        void shouldForwardKeysThatTheOwnInterfaceRejects() throws IOException {
            final String twice = "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n";
            final String large = "Idempotency-Key: " + "k".repeat(300) + "\r\n";
            for (final String fields : List.of(twice, large, "Idempotency-Key:\r\n")) {
                assertThat(mNode.exchange(post("id-1", fields))).startsWith("HTTP/1.1 200");
            }
        }
    }

    @Nested
    final class BodyLimit {
        private static final int LARGE_BYTES = 20 * 1024 * 1024;

        // Guards against: an upload that the configuration allows is refused with 413, because
        // the default limit of the project's own entries applies to it, too (DENIED).
        @Test
        void shouldAcceptWhatTheConfigurationAllows() throws IOException {
            final String head =
                    request(
                            "POST",
                            "desk.example",
                            "/unsafe/1",
                            "Content-Length: " + LARGE_BYTES + "\r\n");
            assertThat(mNode.exchange(head + "b".repeat(LARGE_BYTES))).startsWith("HTTP/1.1 200");
            assertThat(mRuns.get(0).body()).hasSize(LARGE_BYTES);
        }
    }

    /** What the pages of the platform do not name has no effect and passes unchanged. */
    @Nested
    final class UnnamedFieldsAndPaths {
        // Guards against: a field of the project's own interface changes what becomes of a request
        // or does not reach its target.
        @ParameterizedTest
        @CsvSource({
            "Bilberrylane-Service, other",
            "Bilberrylane-Timeout-Millis, 1",
            "Bilberrylane-Timeout-Millis, none",
            "Bilberrylane-Call-Id, call-1",
            "Bilberrylane-Caller, other",
            "Bilberrylane-Target-Id, other",
            "Bilberrylane-Organisation, other",
            "Bilberrylane-Outcome, not-run",
            "Bilberrylane-Load, 6/6",
            "Bilberrylane-Retried, true",
            "Idempotency-Key, 1",
            "X-Instance-Load, '9,9,1,900'",
            "X-Not-Executed, 1",
            "X-Cold-Ms, 9000"
        })
        void shouldPassAFieldOfARequestOn(final String name, final String value)
                throws IOException {
            final String fields = name + ": " + value + "\r\n";
            for (int i = 0; i < 2; i++) {
                final String answer =
                        mNode.exchange(request("POST", "desk.example", "/unsafe/1", fields));
                assertThat(answer).startsWith("HTTP/1.1 200");
            }
            assertThat(mRuns).hasSize(2);
            assertThat(mRuns).allMatch(run -> run.field(name).equals(value));
        }

        // Guards against: a field of the project's own interface in the response of a target is
        // taken for a statement of the target.
        @ParameterizedTest
        @CsvSource({
            "Bilberrylane-Outcome, not-run",
            "Bilberrylane-Load, 6/6",
            "Bilberrylane-Cold-Millis, 9000",
            "Bilberrylane-Retried, true",
            "Bilberrylane-Error, overloaded"
        })
        void shouldPassAFieldOfAResponseOn(final String name, final String value)
                throws IOException {
            final String field = name + ": " + value + "\r\n";
            mTarget.setScript(
                    run -> {
                        mRuns.add(run);
                        run.write(PlatformTarget.response(503, run.id(), field, "busy"));
                    });
            final String answer = mNode.exchange(request("POST", "desk.example", "/unsafe/1", ""));
            assertThat(answer).startsWith("HTTP/1.1 503").contains(field).endsWith("busy");
            assertThat(mRuns).hasSize(1);
        }

        // Guards against: a path of the project's own interface, or of the platform's workers,
        // does something at the address of callers.
        @ParameterizedTest
        @CsvSource({
            "PUT, /.bilberrylane/announcement",
            "POST, /-/Instances.Heartbeat/i-1",
            "POST, /-/Instances.Leave/i-1",
            "GET, /-/readyz",
            "GET, /metrics",
            "GET, /status"
        })
        void shouldNotServeAPathOfItsOwn(final String method, final String path)
                throws IOException {
            final String answer = mNode.exchange(request(method, "desk.example", path, ""));
            assertThat(answer).startsWith("HTTP/1.1 404");
            assertThat(mRuns).isEmpty();
        }
    }
}
