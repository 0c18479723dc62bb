package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and rejects syntax that HTTP parsers interpret differently: folded header lines,
 * and a Content-Length together with a Transfer-Encoding.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final Runnable mOnHeadBytes;
    private boolean mInHead = true;
    private boolean mHeadStarted;

    StrictRequestDecoder(final HttpDecoderConfig config, final Runnable onHeadBytes) {
        super(config);
        mOnHeadBytes = onHeadBytes;
    }

    @Override
    protected void decode(final ChannelHandlerContext ctx, final ByteBuf in, final List<Object> out)
            throws Exception {
        if (mInHead && in.isReadable()) {
            if (!mHeadStarted) {
                mOnHeadBytes.run();
            }
            if (hasFoldedLine(in, mHeadStarted)) {
                throw new IllegalArgumentException("folded header line");
            }
        }
        final int readerIndexBefore = in.readerIndex();
        final int decodedBefore = out.size();
        super.decode(ctx, in, out);
        mHeadStarted |= mInHead && in.readerIndex() != readerIndexBefore;
        for (int i = decodedBefore; i < out.size(); i++) {
            updateHeadState(out.get(i));
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private void updateHeadState(final Object message) {
        if (message instanceof HttpRequest) {
            mInHead = false;
            mHeadStarted = false;
        }
        if (message instanceof LastHttpContent) {
            mInHead = true;
        }
    }

    private static boolean hasFoldedLine(final ByteBuf in, final boolean atLineStart) {
        final int end = in.writerIndex();
        int lineStart = atLineStart ? in.readerIndex() : nextLine(in, in.readerIndex());
        while (lineStart < end) {
            final byte first = in.getByte(lineStart);
            if (first == ' ' || first == '\t') {
                return true;
            }
            if (first == '\r' || first == '\n') {
                return false;
            }
            lineStart = nextLine(in, lineStart);
        }
        return false;
    }

    /** Returns the position after the next line end, or the end of the bytes if there is none. */
    private static int nextLine(final ByteBuf in, final int from) {
        final int lineEnd = in.indexOf(from, in.writerIndex(), (byte) '\n');
        return lineEnd < 0 ? in.writerIndex() : lineEnd + 1;
    }
}
