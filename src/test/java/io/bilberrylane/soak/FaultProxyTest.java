package io.bilberrylane.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class FaultProxyTest {
    private static final long TIMEOUT_MILLIS = 800;

    private final Transport mTransport = Transport.of(1);
    private PlatformStandIn mServer;
    private FaultProxy mProxy;
    private ProxyControl mControl;

    @BeforeEach
    void start() {
        mServer = PlatformStandIn.start(mTransport, loopback(), PlatformFaults.NONE);
        mProxy = FaultProxy.start(mTransport, loopback(), mServer.address());
        mControl = ProxyControl.start(mTransport, loopback(), List.of(mProxy));
    }

    @AfterEach
    void stop() {
        mControl.close();
        mProxy.close();
        mServer.close();
        mTransport.close();
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    private HttpReply post(final InetSocketAddress address, final String uri) {
        return SimpleHttpClient.of(mTransport)
                .call(address, HttpMethod.POST, uri, "{}", TIMEOUT_MILLIS)
                .join();
    }

    private HttpReply requestCounters() {
        return post(mProxy.address(), "/standin/counters");
    }

    @ParameterizedTest
    @EnumSource(names = {"NONE", "DELAY"})
    void shouldForwardAnswersWhenFaultDropsNothing(final ProxyFault fault) {
        mProxy.setFault(fault);
        assertThat(requestCounters().status()).isEqualTo(200);
    }

    @ParameterizedTest
    @EnumSource(names = {"RESET", "SILENT", "ONE_WAY"})
    void shouldFailCallsUntilFaultEnds(final ProxyFault fault) {
        mProxy.setFault(fault);
        Assertions.assertThatThrownBy(this::requestCounters)
                .isInstanceOf(CompletionException.class);
        mProxy.setFault(ProxyFault.NONE);
        assertThat(requestCounters().status()).isEqualTo(200);
    }

    @ParameterizedTest
    @CsvSource({
        "/fault/0/silent, 200",
        "/fault/1/silent, 400",
        "/fault/0/unknown, 400",
        "/fault/x/silent, 404",
        "/other, 404"
    })
    void shouldValidateFaultRequests(final String uri, final int status) {
        assertThat(post(mControl.address(), uri).status()).isEqualTo(status);
    }

    @Test
    void shouldServePlatformClientWhenNoFaultIsSet() {
        final PlatformClient client =
                PlatformClient.of(
                        mTransport,
                        java.net.URI.create("http://127.0.0.1:" + mProxy.address().getPort()),
                        TIMEOUT_MILLIS);
        assertThat(client.list("seeds").join().items()).isEmpty();
    }
}
