package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.ServiceEntry;
import io.bilberrylane.catalogue.TargetParameters;
import io.bilberrylane.catalogue.UnusableRoute;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests to a route that the configuration holds but the node does not understand. */
final class UnusableRouteTest {
    private static final Catalogue CATALOGUE =
            Catalogue.builder()
                    .entry(ServiceEntry.of("s", TargetParameters.DEFAULT))
                    .unusableRoute(new UnusableRoute("h", "/odd/"))
                    .build();

    @ParameterizedTest
    @CsvSource({"/odd/x, 503, route-unusable", "/other/x, 404, service-not-found"})
    void shouldBeRefusedAsNotRun(final String path, final int status, final String code) {
        try (Transport transport = Transport.of(1);
                HttpServer server =
                        HttpServer.bind(
                                transport,
                                new InetSocketAddress("127.0.0.1", 0),
                                () -> CATALOGUE,
                                (route, head, executor, sink) -> {
                                    throw new AssertionError("nothing may be routed");
                                },
                                Optional.empty(),
                                "",
                                HeaderNames.OWN,
                                "",
                                IngressMetrics.NONE)) {
            final HttpReply reply =
                    SimpleHttpClient.of(transport)
                            .call(server.address(), HttpMethod.GET, path, "", 5_000, "h")
                            .join();
            assertThat(reply.status()).isEqualTo(status);
            assertThat(reply.body()).contains(code).contains("not-run");
        }
    }
}
