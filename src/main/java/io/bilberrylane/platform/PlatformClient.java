package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.HttpCaller;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** Calls the platform's object API over HTTP, one connection for each call. */
public final class PlatformClient implements ObjectStore {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Transport mTransport;
    private final HttpCaller mCaller;
    private final URI mBase;
    private final long mTimeoutMillis;
    private final PlatformCounters mCounters = new PlatformCounters();

    private PlatformClient(final Transport transport, final URI base, final long timeoutMillis) {
        mTransport = transport;
        mCaller = HttpCaller.of(transport);
        mBase = base;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Returns a client.
     *
     * @param transport threads and channel types
     * @param base the platform's address, such as {@code http://127.0.0.1:7000}
     * @param timeoutMillis the longest time for one call, in milliseconds
     * @return a client without open connections
     */
    public static PlatformClient of(
            final Transport transport, final URI base, final long timeoutMillis) {
        return new PlatformClient(
                Objects.requireNonNull(transport, "transport is null"),
                Objects.requireNonNull(base, "base is null"),
                timeoutMillis);
    }

    /**
     * Returns the counts of calls.
     *
     * @return live counters
     */
    public PlatformCounters counters() {
        return mCounters;
    }

    // -- reads

    @Override
    public CompletableFuture<StoredObject> get(final String kind, final String name) {
        mCounters.countRead();
        return call(HttpMethod.GET, path(kind) + "/" + name, "").thenApply(this::object);
    }

    @Override
    public CompletableFuture<ObjectList> list(final String kind) {
        mCounters.countRead();
        return call(HttpMethod.GET, path(kind), "")
                .thenApply(text -> ObjectJson.readList(ObjectJson.parse(text)));
    }

    @Override
    public AutoCloseable watch(
            final String kind, final long version, final WatchListener listener) {
        mCounters.countRead();
        final WatchExchange exchange = new WatchExchange(listener);
        final ChannelFuture future =
                connect(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(final Channel channel) {
                                channel.pipeline().addLast(new HttpClientCodec(), exchange);
                            }
                        });
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        final String uri = path(kind) + "?watch=true&resourceVersion=" + version;
                        future.channel()
                                .writeAndFlush(
                                        HttpCaller.request(address(), HttpMethod.GET, uri, ""));
                    } else {
                        exchange.end(unavailable(done.cause()));
                    }
                });
        return () -> future.channel().close();
    }

    // -- writes

    @Override
    public CompletableFuture<StoredObject> create(
            final String kind, final String name, final JsonNode spec) {
        mCounters.countWrite();
        final String body = ObjectJson.write(new StoredObject(kind, name, 0, spec)).toString();
        return call(HttpMethod.POST, path(kind), body).thenApply(this::object);
    }

    @Override
    public CompletableFuture<StoredObject> update(
            final String kind, final String name, final long version, final JsonNode spec) {
        mCounters.countWrite();
        final String body =
                ObjectJson.write(new StoredObject(kind, name, version, spec)).toString();
        return call(HttpMethod.PUT, path(kind) + "/" + name, body).thenApply(this::object);
    }

    @Override
    public CompletableFuture<Void> delete(
            final String kind, final String name, final long version) {
        mCounters.countWrite();
        return call(HttpMethod.DELETE, path(kind) + "/" + name + "?resourceVersion=" + version, "")
                .thenApply(text -> null);
    }

    // -- calls

    private CompletableFuture<String> call(
            final HttpMethod method, final String uri, final String body) {
        return mCaller.call(address(), method, uri, body, mTimeoutMillis).handle(this::text);
    }

    private String text(final HttpReply reply, final Throwable failure) {
        if (failure != null) {
            mCounters.countFailure();
            throw unavailable(failure);
        }
        if (!reply.isSuccess()) {
            mCounters.countFailure();
            throw PlatformErrors.of(reply.status(), reply.body());
        }
        return reply.body();
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(mBase.getHost(), mBase.getPort());
    }

    private ChannelFuture connect(final ChannelHandler initializer) {
        return mTransport
                .clientBootstrap()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer)
                .connect(address());
    }

    private StoredObject object(final String text) {
        return ObjectJson.read(ObjectJson.parse(text));
    }

    private static String path(final String kind) {
        return ObjectJson.BASE_PATH + kind;
    }

    private static BilberrylaneException unavailable(final Throwable cause) {
        return new BilberrylaneException(
                ErrorCode.PLATFORM_UNAVAILABLE, "no connection to the platform", cause);
    }
}
