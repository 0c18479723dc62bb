package io.bilberrylane.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Serves one inbound link: passes calls to the gate and requests to the request handler. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_STREAMS = 4_096;

    private final NodeIdentity mIdentity;
    private final CallOpener mGate;
    private final RequestHandler mRequestHandler;
    private final Map<Integer, ServerStream> mStreams = new HashMap<>();
    private String mPeerHost = "";
    private int mPeerVersion;

    PeerServerHandler(
            final NodeIdentity identity,
            final CallOpener gate,
            final RequestHandler requestHandler) {
        mIdentity = identity;
        mGate = gate;
        mRequestHandler = requestHandler;
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        ctx.writeAndFlush(mIdentity.hello());
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final PeerMessage message) {
        switch (message) {
            case PeerMessage.Hello hello -> {
                mPeerHost = hello.host();
                mPeerVersion = hello.protocolVersion();
            }
            case PeerMessage.Ping ping -> ctx.writeAndFlush(new PeerMessage.Pong(ping.nonce()));
            case PeerMessage.Pong pong -> LOGGER.atFinest().log("ignoring unexpected pong");
            case PeerMessage.StreamMessage stream -> onStream(ctx, stream);
            case PeerMessage.Request request -> ctx.writeAndFlush(mRequestHandler.handle(request));
            case PeerMessage.Reply reply ->
                    throw FieldReader.protocolViolation("reply on an inbound link", null);
            case PeerMessage.Unknown unknown ->
                    LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                            "ignoring message of unknown type %d from %s",
                            unknown.type(), mPeerHost);
        }
    }

    private void onStream(
            final ChannelHandlerContext ctx, final PeerMessage.StreamMessage message) {
        if (message instanceof PeerMessage.Open open) {
            onOpen(ctx, open);
            return;
        }
        final ServerStream stream = mStreams.get(message.streamId());
        if (stream == null) {
            return;
        }
        switch (message) {
            case PeerMessage.Data data -> stream.onPeerData(Unpooled.wrappedBuffer(data.bytes()));
            case PeerMessage.End end -> stream.body().end();
            case PeerMessage.Cancel cancel -> {
                mStreams.remove(cancel.streamId());
                stream.body().cancel();
            }
            case PeerMessage.Credit credit -> stream.body().credit(credit.bytes());
            case PeerMessage.Open open ->
                    throw new IllegalStateException("Open must be dispatched to onOpen");
            case PeerMessage.Admit m -> throw unexpectedMessage(m);
            case PeerMessage.Refuse m -> throw unexpectedMessage(m);
            case PeerMessage.Head m -> throw unexpectedMessage(m);
            case PeerMessage.Response m -> throw unexpectedMessage(m);
            case PeerMessage.Fail m -> throw unexpectedMessage(m);
        }
    }

    private void onOpen(final ChannelHandlerContext ctx, final PeerMessage.Open open) {
        if (mStreams.size() >= MAX_STREAMS || mStreams.containsKey(open.streamId())) {
            throw FieldReader.protocolViolation(
                    "stream "
                            + open.streamId()
                            + " cannot be opened: its id is in use or too many streams are open",
                    null);
        }
        final ServerStream stream =
                new ServerStream(ctx.channel(), open.streamId(), mStreams::remove);
        mStreams.put(open.streamId(), stream);
        final ResponseSink sink =
                mPeerVersion >= PeerMessage.RESPONSE_VERSION
                        ? new ResponseJoiner(ctx.executor(), stream)
                        : stream;
        stream.attach(mGate.open(open.head(), sink));
    }

    private static RuntimeException unexpectedMessage(final PeerMessage.StreamMessage message) {
        return FieldReader.protocolViolation(
                "unexpected message on an inbound link: " + message.getClass().getSimpleName(),
                null);
    }

    // -- end of the link

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        final List<ServerStream> streams = List.copyOf(mStreams.values());
        mStreams.clear();
        streams.forEach(stream -> stream.body().cancel());
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                "closing link from %s at %s", mPeerHost, ctx.channel().remoteAddress());
        ctx.close();
    }
}
