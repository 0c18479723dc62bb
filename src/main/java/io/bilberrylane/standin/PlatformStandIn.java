package io.bilberrylane.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.ObjectJson;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.StoredObject;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

    private record Watch(String kind, AtomicLong version) {}

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
            final QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (query.parameters().containsKey("watch")) {
                startWatch(ctx, query);
                return;
            }
            final String answer = apply(request, query);
            if (write && mRandom.nextInt(100) < faults.losePercent()) {
                ctx.close();
            } else {
                JsonServer.answer(ctx, request, 200, answer);
            }
            if (write) {
                mWatches.forEach(this::push);
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

    private String apply(final FullHttpRequest request, final QueryStringDecoder query) {
        final String[] path = query.path().substring(ObjectJson.BASE_PATH.length()).split("/");
        final String kind = path[0];
        if (request.method().equals(HttpMethod.POST)) {
            final StoredObject sent = body(request);
            return ObjectJson.write(mTable.create(kind, sent.name(), sent.spec())).toString();
        }
        if (path.length == 1) {
            return writeList(mTable.list(kind));
        }
        final String name = path[1];
        if (request.method().equals(HttpMethod.PUT)) {
            final StoredObject sent = body(request);
            return ObjectJson.write(mTable.update(kind, name, sent.version(), sent.spec()))
                    .toString();
        }
        if (request.method().equals(HttpMethod.DELETE)) {
            return ObjectJson.write(mTable.delete(kind, name, version(query))).toString();
        }
        return ObjectJson.write(mTable.get(kind, name)).toString();
    }

    private static StoredObject body(final FullHttpRequest request) {
        if (request.content().readableBytes() > MAX_VALUE_BYTES) {
            throw new BilberrylaneException(
                    ErrorCode.BODY_TOO_LARGE, "values hold at most a megabyte");
        }
        return ObjectJson.read(
                ObjectJson.parse(request.content().toString(StandardCharsets.UTF_8)));
    }

    private static String writeList(final ObjectList list) {
        final ObjectNode root = MAPPER.createObjectNode();
        root.putObject("metadata").put("resourceVersion", String.valueOf(list.version()));
        final var items = root.putArray("items");
        list.items().forEach(item -> items.add(ObjectJson.write(item)));
        return root.toString();
    }

    private static long version(final QueryStringDecoder query) {
        final List<String> values = query.parameters().get("resourceVersion");
        return values == null ? 0 : Long.parseLong(values.get(0));
    }

    // -- watches

    private void startWatch(final ChannelHandlerContext ctx, final QueryStringDecoder query) {
        final String kind = query.path().substring(ObjectJson.BASE_PATH.length());
        final long version = version(query);
        mTable.since(kind, version);
        final HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setTransferEncodingChunked(response, true);
        ctx.writeAndFlush(response);
        final Watch watch = new Watch(kind, new AtomicLong(version));
        mWatches.put(ctx.channel(), watch);
        ctx.channel().closeFuture().addListener(done -> mWatches.remove(ctx.channel()));
        push(ctx.channel(), watch);
    }

    private void push(final Channel channel, final Watch watch) {
        channel.eventLoop()
                .execute(
                        () -> {
                            for (final ObjectTable.Event event :
                                    mTable.since(watch.kind(), watch.version().get())) {
                                watch.version().set(event.version());
                                channel.write(new DefaultHttpContent(line(event)));
                            }
                            channel.flush();
                        });
    }

    private static io.netty.buffer.ByteBuf line(final ObjectTable.Event event) {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("type", event.type());
        root.set("object", ObjectJson.write(event.object()));
        return Unpooled.copiedBuffer(root + "\n", StandardCharsets.UTF_8);
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
