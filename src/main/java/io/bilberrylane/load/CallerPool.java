package io.bilberrylane.load;

import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

/** The connections of all callers, kept alive between calls. */
final class CallerPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Transport mTransport;
    private final Map<InetSocketAddress, Deque<CallerConnection>> mIdle = new ConcurrentHashMap<>();

    CallerPool(final Transport transport) {
        mTransport = transport;
    }

    void send(final PlannedCall call, final Consumer<CallResult> consumer) {
        final Deque<CallerConnection> idle =
                mIdle.computeIfAbsent(call.address(), key -> new ConcurrentLinkedDeque<>());
        CallerConnection connection = idle.pollFirst();
        while (connection != null && !connection.isUsable()) {
            connection = idle.pollFirst();
        }
        if (connection != null) {
            connection.send(call, consumer);
        } else {
            open(call, idle, consumer);
        }
    }

    private void open(
            final PlannedCall call,
            final Deque<CallerConnection> idle,
            final Consumer<CallResult> consumer) {
        final CallerConnection connection = new CallerConnection(idle::addFirst);
        mTransport
                .clientBootstrap()
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(final Channel channel) {
                                connection.attach(channel);
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new ChunkedWriteHandler())
                                        .addLast(connection);
                            }
                        })
                .connect(call.address())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                connection.send(call, consumer);
                            } else {
                                consumer.accept(unreachable(call));
                            }
                        });
    }

    private static CallResult unreachable(final PlannedCall call) {
        return new CallResult(
                call,
                0,
                "not-run",
                "unreachable",
                "",
                false,
                false,
                -1,
                System.nanoTime() - call.dueNanos());
    }
}
