package io.bilberrylane.load;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.stream.ChunkedInput;

/** Makes a request body of any length without holding it. */
final class PatternInput implements ChunkedInput<HttpContent> {
    private static final int CHUNK_BYTES = 16 * 1024;

    private final long mLength;
    private long mSent;
    private boolean mEnded;

    PatternInput(final long length) {
        mLength = length;
    }

    @Override
    public boolean isEndOfInput() {
        return mEnded;
    }

    @Override
    public void close() {
        mEnded = true;
    }

    @Deprecated
    @Override
    public HttpContent readChunk(final ChannelHandlerContext ctx) {
        return readChunk(ctx.alloc());
    }

    @Override
    public HttpContent readChunk(final ByteBufAllocator allocator) {
        if (mSent == mLength) {
            mEnded = true;
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
        final int size = (int) Math.min(CHUNK_BYTES, mLength - mSent);
        mSent += size;
        return new DefaultHttpContent(allocator.buffer(size).writeZero(size));
    }

    @Override
    public long length() {
        return mLength;
    }

    @Override
    public long progress() {
        return mSent;
    }
}
