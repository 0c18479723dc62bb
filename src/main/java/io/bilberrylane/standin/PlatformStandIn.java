package io.bilberrylane.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.ObjectEvents;
import io.bilberrylane.platform.ObjectJson;
import io.bilberrylane.platform.StoreRequest;
import io.bilberrylane.platform.StoredObject;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An in-memory object API of the platform, with faults that can be set while it runs. */
public final class PlatformStandIn implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_VALUE_BYTES = 1024 * 1024;

    private record Watch(
            StoreRequest storeRequest, FullHttpRequest request, ScheduledFuture<?> timeout) {}

    private final ObjectTable mTable = new ObjectTable();
    private final Map<Channel, Watch> mWatches = new ConcurrentHashMap<>();
    private final AtomicLong mReadCount = new AtomicLong();
    private final AtomicLong mWriteCount = new AtomicLong();
    private final AtomicInteger mReadsThisSecond = new AtomicInteger();
    private final AtomicInteger mWritesThisSecond = new AtomicInteger();
    private final Random mRandom = new Random(1);
    private volatile PlatformFaults mFaults;
    private JsonServer mServer;

    private PlatformStandIn(final PlatformFaults faults) {
        mFaults = faults;
    }

    /**
     * Returns a running stand-in.
     *
     * @param transport the event loops and channel types
     * @param address the address to listen on; with port 0, the system picks a port
     * @param faults the initial faults
     * @return the stand-in
     */
    public static PlatformStandIn start(
            final Transport transport,
            final InetSocketAddress address,
            final PlatformFaults faults) {
        final PlatformStandIn standIn = new PlatformStandIn(faults);
        standIn.mServer = JsonServer.bind(transport, address, standIn::handle);
        transport.group().scheduleAtFixedRate(standIn::resetSecondCounters, 1, 1, TimeUnit.SECONDS);
        return standIn;
    }

    /**
     * Returns the address that it listens on.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /**
     * Replaces the faults.
     *
     * @param faults the new faults
     */
    public void setFaults(final PlatformFaults faults) {
        mFaults = faults;
        if (faults.down() || faults.cutWatches()) {
            mWatches.keySet().forEach(Channel::close);
        }
    }

    /** Drops the history, keeps the objects, and closes the connections of all watches. */
    public void compact() {
        mTable.compact();
        mWatches.keySet().forEach(Channel::close);
    }

    /** Drops every object and the history, and closes the connections of all watches. */
    public void wipe() {
        mTable.wipe();
        mWatches.keySet().forEach(Channel::close);
    }

    /**
     * Returns the number of reads and watches so far, throttled ones included.
     *
     * @return the count
     */
    public long readCount() {
        return mReadCount.get();
    }

    /**
     * Returns the number of writes so far, throttled ones included.
     *
     * @return the count
     */
    public long writeCount() {
        return mWriteCount.get();
    }

    private void resetSecondCounters() {
        mReadsThisSecond.set(0);
        mWritesThisSecond.set(0);
    }

    // -- requests

    private void handle(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        if (request.uri().startsWith("/standin/")) {
            handleControlRequest(ctx, request);
            return;
        }
        final PlatformFaults faults = mFaults;
        if (faults.down()) {
            ctx.close();
            return;
        }
        final FullHttpRequest retained = request.retain();
        final Runnable serveTask =
                () -> {
                    try {
                        serve(ctx, retained, faults);
                    } finally {
                        retained.release();
                    }
                };
        if (faults.slowMillis() > 0) {
            ctx.executor().schedule(serveTask, faults.slowMillis(), TimeUnit.MILLISECONDS);
        } else {
            serveTask.run();
        }
    }

    private void serve(
            final ChannelHandlerContext ctx,
            final FullHttpRequest request,
            final PlatformFaults faults) {
        final boolean isWrite = !request.method().equals(HttpMethod.GET);
        if (isThrottled(isWrite, faults)) {
            JsonServer.respond(ctx, request, 429, "{\"reason\":\"TooManyRequests\"}");
            return;
        }
        try {
            final StoreRequest storeRequest =
                    StoreRequest.parse(request.uri())
                            .orElseThrow(
                                    () ->
                                            new BilberrylaneException(
                                                    ErrorCode.PLATFORM_NOT_FOUND, request.uri()));
            if (storeRequest.isWatch() && faults.cutWatches()) {
                ctx.close();
                return;
            }
            if (storeRequest.isWatch()) {
                startWatch(ctx, request, storeRequest);
                return;
            }
            final String responseBody = apply(request, storeRequest);
            if (isWrite && mRandom.nextInt(100) < faults.losePercent()) {
                ctx.close();
            } else {
                JsonServer.respond(ctx, request, 200, responseBody);
            }
            if (isWrite) {
                mWatches.keySet().forEach(this::notifyWatch);
            }
        } catch (BilberrylaneException e) {
            JsonServer.respond(
                    ctx,
                    request,
                    e.code().httpStatus(),
                    MAPPER.createObjectNode().put("message", e.getMessage()).toString());
        }
    }

    private boolean isThrottled(final boolean isWrite, final PlatformFaults faults) {
        if (isWrite) {
            mWriteCount.incrementAndGet();
            final int limit = faults.writesPerSecond();
            return limit > 0 && mWritesThisSecond.incrementAndGet() > limit;
        }
        mReadCount.incrementAndGet();
        final int limit = faults.readsPerSecond();
        return limit > 0 && mReadsThisSecond.incrementAndGet() > limit;
    }

    private String apply(final FullHttpRequest request, final StoreRequest storeRequest) {
        final HttpMethod method = request.method();
        if (method.equals(HttpMethod.POST)) {
            final StoredObject submitted = readObject(storeRequest, request);
            return ObjectJson.write(
                            mTable.create(storeRequest.kind(), submitted.name(), submitted.spec()))
                    .toString();
        }
        if (storeRequest.name().isEmpty()) {
            return ObjectJson.writeList(mTable.list(storeRequest.kind()), false).toString();
        }
        if (method.equals(HttpMethod.PUT)) {
            return ObjectJson.write(replace(storeRequest, readObject(storeRequest, request)))
                    .toString();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return ObjectJson.write(
                            mTable.delete(
                                    storeRequest.kind(),
                                    storeRequest.name(),
                                    storeRequest.version()))
                    .toString();
        }
        return ObjectJson.write(mTable.get(storeRequest.kind(), storeRequest.name())).toString();
    }

    private StoredObject replace(final StoreRequest storeRequest, final StoredObject submitted) {
        return storeRequest.statusOnly()
                ? mTable.updateStatus(
                        storeRequest.kind(),
                        storeRequest.name(),
                        submitted.version(),
                        submitted.status())
                : mTable.update(
                        storeRequest.kind(),
                        storeRequest.name(),
                        submitted.version(),
                        submitted.spec());
    }

    private static StoredObject readObject(
            final StoreRequest storeRequest, final FullHttpRequest request) {
        if (request.content().readableBytes() > MAX_VALUE_BYTES) {
            throw new BilberrylaneException(
                    ErrorCode.BODY_TOO_LARGE, "values hold at most a megabyte");
        }
        return ObjectJson.read(
                storeRequest.kind(),
                ObjectJson.parse(request.content().toString(StandardCharsets.UTF_8)));
    }

    // -- watches

    private void startWatch(
            final ChannelHandlerContext ctx,
            final FullHttpRequest request,
            final StoreRequest storeRequest) {
        mTable.eventsAfter(storeRequest.kind(), storeRequest.watchVersion());
        final Channel channel = ctx.channel();
        final ScheduledFuture<?> timeout =
                ctx.executor()
                        .schedule(
                                () -> respondToWatch(channel, true),
                                storeRequest.waitMillis(),
                                TimeUnit.MILLISECONDS);
        mWatches.put(channel, new Watch(storeRequest, request.retain(), timeout));
        channel.closeFuture().addListener(closed -> removeWatch(channel));
        notifyWatch(channel);
    }

    private void notifyWatch(final Channel channel) {
        channel.eventLoop().execute(() -> respondToWatch(channel, false));
    }

    private void respondToWatch(final Channel channel, final boolean timedOut) {
        final Watch watch = mWatches.get(channel);
        if (watch == null) {
            return;
        }
        final ObjectEvents events =
                mTable.events(watch.storeRequest().kind(), watch.storeRequest().watchVersion());
        if (events.events().isEmpty() && !timedOut) {
            return;
        }
        final ChannelHandlerContext ctx = channel.pipeline().lastContext();
        JsonServer.respond(ctx, watch.request(), 200, ObjectJson.writeEvents(events).toString());
        removeWatch(channel);
    }

    private void removeWatch(final Channel channel) {
        final Watch watch = mWatches.remove(channel);
        if (watch != null) {
            watch.timeout().cancel(false);
            watch.request().release();
        }
    }

    // -- control

    private void handleControlRequest(
            final ChannelHandlerContext ctx, final FullHttpRequest request) {
        switch (request.uri()) {
            case "/standin/faults" -> {
                try {
                    final JsonNode body =
                            MAPPER.readTree(request.content().toString(StandardCharsets.UTF_8));
                    setFaults(MAPPER.treeToValue(body, PlatformFaults.class));
                    JsonServer.respond(ctx, request, 200, "{}");
                } catch (JsonProcessingException e) {
                    JsonServer.respond(ctx, request, 400, "{}");
                }
            }
            case "/standin/wipe" -> {
                wipe();
                JsonServer.respond(ctx, request, 200, "{}");
            }
            case "/standin/counters" ->
                    JsonServer.respond(
                            ctx,
                            request,
                            200,
                            MAPPER.createObjectNode()
                                    .put("reads", readCount())
                                    .put("writes", writeCount())
                                    .toString());
            default -> JsonServer.respond(ctx, request, 404, "{}");
        }
    }

    @Override
    public void close() {
        mServer.close();
    }
}
