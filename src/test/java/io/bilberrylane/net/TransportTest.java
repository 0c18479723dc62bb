package io.bilberrylane.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class TransportTest {
    private static boolean isLinux() {
        return System.getProperty("os.name").toLowerCase(Locale.ROOT).contains("linux");
    }

    /** The program's jar holds every resource of the class path that this test runs on. */
    @Nested
    class NativeLibraries {
        @ParameterizedTest
        @ValueSource(strings = {"x86_64", "aarch_64"})
        void shouldBePackagedForEachProcessorArchitecture(final String classifier) {
            final String name =
                    "META-INF/native/libnetty_transport_native_epoll_" + classifier + ".so";
            assertThat(Transport.class.getClassLoader().getResource(name)).isNotNull();
        }
    }

    /** Closing a listener resets connections that nobody has accepted. */
    @Nested
    class ClosingAListener {
        private static final int CLIENTS = 5;
        private static final long BUSY_MILLIS = 200;

        @Test
        void shouldAcceptTheConnectionsThatWaitWhenTheLoopWasBusy() throws Exception {
            assumeTrue(isLinux());
            try (Transport transport = Transport.of(1)) {
                final Channel server = echoServer(transport);
                final int port = ((InetSocketAddress) server.localAddress()).getPort();
                server.eventLoop().execute(ClosingAListener::keepBusy);
                final List<Socket> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
                }
                transport.closeListener(server);
                for (final Socket client : clients) {
                    client.getOutputStream().write('x');
                    assertThat(client.getInputStream().read()).isEqualTo('x');
                    client.close();
                }
                assertThatThrownBy(() -> new Socket(InetAddress.getLoopbackAddress(), port))
                        .isInstanceOf(ConnectException.class);
            }
        }

        private static Channel echoServer(final Transport transport) {
            return transport
                    .serverBootstrap()
                    .childHandler(
                            new ChannelInboundHandlerAdapter() {
                                @Override
                                public boolean isSharable() {
                                    return true;
                                }

                                @Override
                                public void channelRead(
                                        final ChannelHandlerContext ctx, final Object message) {
                                    ctx.writeAndFlush(message);
                                }
                            })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly()
                    .channel();
        }

        private static void keepBusy() {
            try {
                TimeUnit.MILLISECONDS.sleep(BUSY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Nested
    class Selection {
        @Test
        void shouldUseEpollOnLinux() {
            assumeTrue(isLinux());
            try (Transport transport = Transport.of(1)) {
                assertThat(transport.isEpoll()).isTrue();
            }
        }
    }
}
