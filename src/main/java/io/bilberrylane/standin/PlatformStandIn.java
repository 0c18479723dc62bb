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

/** An object API in memory with faults that can be set while it runs. */
public final class PlatformStandIn implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_VALUE_BYTES = 1024 * 1024;

    private record Watch(StoreRequest call, FullHttpRequest request, ScheduledFuture<?> end) {}

    private final ObjectTable mTable = new ObjectTable();
    private final Map<Channel, Watch> mWatches = new ConcurrentHashMap<>();
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
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
     * @param transport threads and channel types
     * @param address where to listen; port 0 picks one
     * @param faults how it misbehaves from the start
     * @return the stand-in
     */
    public static PlatformStandIn start(
            final Transport transport,
            final InetSocketAddress address,
            final PlatformFaults faults) {
        final PlatformStandIn standIn = new PlatformStandIn(faults);
        standIn.mServer = JsonServer.bind(transport, address, standIn::handle);
        transport.group().scheduleAtFixedRate(standIn::startSecond, 1, 1, TimeUnit.SECONDS);
        return standIn;
    }

    /**
     * Returns where it listens.
     *
     * @return IP and port
     */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /**
     * Sets how it misbehaves from now on.
     *
     * @param faults the faults
     */
    public void setFaults(final PlatformFaults faults) {
        mFaults = faults;
        if (faults.down() || faults.cutWatches()) {
            mWatches.keySet().forEach(Channel::close);
        }
    }

    /** Forgets the history; the objects stay. */
    public void compact() {
        mTable.compact();
        mWatches.keySet().forEach(Channel::close);
    }

    /** Forgets every object. */
    public void wipe() {
        mTable.wipe();
        mWatches.keySet().forEach(Channel::close);
    }

    /**
     * Returns reads and watches so far.
     *
     * @return a count
     */
    public long reads() {
        return mReads.get();
    }

    /**
     * Returns writes so far.
     *
     * @return a count
     */
    public long writes() {
        return mWrites.get();
    }

    private void startSecond() {
        mReadsThisSecond.set(0);
        mWritesThisSecond.set(0);
    }

    // -- requests

    private void handle(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        if (request.uri().startsWith("/standin/")) {
            control(ctx, request);
            return;
        }
        final PlatformFaults faults = mFaults;
        if (faults.down()) {
            ctx.close();
            return;
        }
        final FullHttpRequest kept = request.retain();
        final Runnable work =
                () -> {
                    try {
                        serve(ctx, kept, faults);
                    } finally {
                        kept.release();
                    }
                };
        if (faults.slowMillis() > 0) {
            ctx.executor().schedule(work, faults.slowMillis(), TimeUnit.MILLISECONDS);
        } else {
            work.run();
        }
    }

    private void serve(
            final ChannelHandlerContext ctx,
            final FullHttpRequest request,
            final PlatformFaults faults) {
        final boolean write = !request.method().equals(HttpMethod.GET);
        if (isThrottled(write, faults)) {
            JsonServer.answer(ctx, request, 429, "{\"reason\":\"TooManyRequests\"}");
            return;
        }
        try {
            final StoreRequest call =
                    StoreRequest.parse(request.uri())
                            .orElseThrow(
                                    () ->
                                            new BilberrylaneException(
                                                    ErrorCode.PLATFORM_NOT_FOUND, request.uri()));
            if (call.isWatch() && faults.cutWatches()) {
                ctx.close();
                return;
            }
            if (call.isWatch()) {
                startWatch(ctx, request, call);
                return;
            }
            final String answer = apply(request, call);
            if (write && mRandom.nextInt(100) < faults.losePercent()) {
                ctx.close();
            } else {
                JsonServer.answer(ctx, request, 200, answer);
            }
            if (write) {
                mWatches.keySet().forEach(this::push);
            }
        } catch (BilberrylaneException e) {
            JsonServer.answer(
                    ctx,
                    request,
                    e.code().httpStatus(),
                    MAPPER.createObjectNode().put("message", e.getMessage()).toString());
        }
    }

    private boolean isThrottled(final boolean write, final PlatformFaults faults) {
        if (write) {
            mWrites.incrementAndGet();
            final int limit = faults.writesPerSecond();
            return limit > 0 && mWritesThisSecond.incrementAndGet() > limit;
        }
        mReads.incrementAndGet();
        final int limit = faults.readsPerSecond();
        return limit > 0 && mReadsThisSecond.incrementAndGet() > limit;
    }

    private String apply(final FullHttpRequest request, final StoreRequest call) {
        final HttpMethod method = request.method();
        if (method.equals(HttpMethod.POST)) {
            final StoredObject sent = body(call, request);
            return ObjectJson.write(mTable.create(call.kind(), sent.name(), sent.spec()))
                    .toString();
        }
        if (call.name().isEmpty()) {
            return ObjectJson.writeList(mTable.list(call.kind()), false).toString();
        }
        if (method.equals(HttpMethod.PUT)) {
            return ObjectJson.write(replace(call, body(call, request))).toString();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return ObjectJson.write(mTable.delete(call.kind(), call.name(), call.version()))
                    .toString();
        }
        return ObjectJson.write(mTable.get(call.kind(), call.name())).toString();
    }

    private StoredObject replace(final StoreRequest call, final StoredObject sent) {
        return call.statusOnly()
                ? mTable.updateStatus(call.kind(), call.name(), sent.version(), sent.status())
                : mTable.update(call.kind(), call.name(), sent.version(), sent.spec());
    }

    private static StoredObject body(final StoreRequest call, final FullHttpRequest request) {
        if (request.content().readableBytes() > MAX_VALUE_BYTES) {
            throw new BilberrylaneException(
                    ErrorCode.BODY_TOO_LARGE, "values hold at most a megabyte");
        }
        return ObjectJson.read(
                call.kind(), ObjectJson.parse(request.content().toString(StandardCharsets.UTF_8)));
    }

    // -- watches

    private void startWatch(
            final ChannelHandlerContext ctx,
            final FullHttpRequest request,
            final StoreRequest call) {
        mTable.since(call.kind(), call.watchVersion());
        final Channel channel = ctx.channel();
        final ScheduledFuture<?> end =
                ctx.executor()
                        .schedule(
                                () -> answerWatch(channel, true),
                                call.waitMillis(),
                                TimeUnit.MILLISECONDS);
        mWatches.put(channel, new Watch(call, request.retain(), end));
        channel.closeFuture().addListener(done -> forget(channel));
        push(channel);
    }

    private void push(final Channel channel) {
        channel.eventLoop().execute(() -> answerWatch(channel, false));
    }

    private void answerWatch(final Channel channel, final boolean waitOver) {
        final Watch watch = mWatches.get(channel);
        if (watch == null) {
            return;
        }
        final ObjectEvents events = mTable.events(watch.call().kind(), watch.call().watchVersion());
        if (events.events().isEmpty() && !waitOver) {
            return;
        }
        final ChannelHandlerContext ctx = channel.pipeline().lastContext();
        JsonServer.answer(ctx, watch.request(), 200, ObjectJson.writeEvents(events).toString());
        forget(channel);
    }

    private void forget(final Channel channel) {
        final Watch watch = mWatches.remove(channel);
        if (watch != null) {
            watch.end().cancel(false);
            watch.request().release();
        }
    }

    // -- control

    private void control(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        switch (request.uri()) {
            case "/standin/faults" -> {
                try {
                    final JsonNode body =
                            MAPPER.readTree(request.content().toString(StandardCharsets.UTF_8));
                    setFaults(MAPPER.treeToValue(body, PlatformFaults.class));
                    JsonServer.answer(ctx, request, 200, "{}");
                } catch (JsonProcessingException e) {
                    JsonServer.answer(ctx, request, 400, "{}");
                }
            }
            case "/standin/wipe" -> {
                wipe();
                JsonServer.answer(ctx, request, 200, "{}");
            }
            case "/standin/counters" ->
                    JsonServer.answer(
                            ctx,
                            request,
                            200,
                            MAPPER.createObjectNode()
                                    .put("reads", reads())
                                    .put("writes", writes())
                                    .toString());
            default -> JsonServer.answer(ctx, request, 404, "{}");
        }
    }

    @Override
    public void close() {
        mServer.close();
    }
}
