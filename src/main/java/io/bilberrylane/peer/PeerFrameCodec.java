package io.bilberrylane.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Encodes peer messages as frames with a length prefix of four bytes. */
final class PeerFrameCodec extends ByteToMessageCodec<PeerMessage> {
    private static final int LENGTH_BYTES = 4;

    @Override
    protected void encode(
            final ChannelHandlerContext ctx, final PeerMessage message, final ByteBuf out) {
        final byte[] bytes = PeerCodec.encode(message);
        out.ensureWritable(LENGTH_BYTES + bytes.length);
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }

    @Override
    protected void decode(
            final ChannelHandlerContext ctx, final ByteBuf in, final List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        final int length = in.getInt(in.readerIndex());
        if (length < 0 || length > PeerCodec.MAX_MESSAGE_BYTES) {
            throw new TooLongFrameException("invalid length of a peer frame: " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        final byte[] bytes = new byte[length];
        in.readBytes(bytes);
        out.add(PeerCodec.decode(bytes));
    }
}
