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
        boolean lineStart = atLineStart;
        for (int i = in.readerIndex(); i < in.writerIndex(); i++) {
            final byte value = in.getByte(i);
            if (lineStart && (value == ' ' || value == '\t')) {
                return true;
            }
            if (lineStart && (value == '\r' || value == '\n')) {
                return false;
            }
            lineStart = value == '\n';
        }
        return false;
    }
}
