package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.function.Predicate;

/**
 * Decides whether the end of a response's body is the beginning of another response: the target
 * stopped within the body and went on with a second response, whose first bytes complete the
 * announced length. Looks at each part once and keeps bytes only from the beginning of a possible
 * head on.
 */
final class ContinuedBody {
    private static final byte[] NONE = {};

    /** Fewer bytes than {@code HTTP} end many bodies, so that they alone delay none. */
    private static final int MIN_SUSPICIOUS_BYTES = 4;

    /** What the bytes that are known tell about a body whose announced end is reached. */
    enum Verdict {
        /** The body is whole as far as a reader can tell. */
        WHOLE,
        /** The bytes that follow decide; they have not arrived. */
        OPEN,
        /** The same, but few bodies end like this one. */
        SUSPICIOUS,
        /** The body ends within another response. */
        CONTINUED
    }

    private final Predicate<String> mIsIdentity;
    private boolean mHasContiguousRest;
    private long mTotalBytes;

    /** The bytes from the beginning of an incomplete head to the end of the parts so far. */
    private byte[] mBeginning = NONE;

    private boolean mBeginningAnswersRequest;

    /** Where the responses end that begin in the body, counted from the beginning of the body. */
    private long mAnswerEnd;

    private long mOtherEnd;

    /**
     * Creates the state of a connection.
     *
     * @param isIdentity tells whether a value is the identity of a request of the connection
     */
    ContinuedBody(final Predicate<String> isIdentity) {
        mIsIdentity = isIdentity;
    }

    /**
     * Begins a body.
     *
     * @param hasContiguousRest whether the bytes after the body follow its last byte directly, as
     *     with a length
     */
    void begin(final boolean hasContiguousRest) {
        mHasContiguousRest = hasContiguousRest;
        mTotalBytes = 0;
        mBeginning = NONE;
        mBeginningAnswersRequest = false;
        mAnswerEnd = 0;
        mOtherEnd = 0;
    }

    /**
     * Looks at a part of the body.
     *
     * @param part the part; not changed
     */
    void add(final ByteBuf part) {
        final int length = part.readableBytes();
        if (length > 0) {
            final long base = mTotalBytes - mBeginning.length;
            mTotalBytes += length;
            scan(withBeginning(part), base);
        }
    }

    private ByteBuf withBeginning(final ByteBuf bytes) {
        return mBeginning.length == 0
                ? bytes
                : Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(mBeginning), bytes.duplicate());
    }

    private void scan(final ByteBuf bytes, final long base) {
        final int first = bytes.readerIndex();
        final int to = bytes.writerIndex();
        mBeginning = NONE;
        mBeginningAnswersRequest = false;
        int from = first;
        int found = StatusLineSearch.indexOf(bytes, from, to);
        while (found >= 0) {
            final EmbeddedHead head = headAt(bytes, found, to);
            switch (head.state()) {
                case NONE -> from = found + StatusLineSearch.length();
                case COMPLETE -> {
                    final long end = base + head.end() - first + head.bodyBytes();
                    mAnswerEnd = head.answersRequest() ? Math.max(mAnswerEnd, end) : mAnswerEnd;
                    mOtherEnd = head.answersRequest() ? mOtherEnd : Math.max(mOtherEnd, end);
                    from = head.end();
                }
                case INCOMPLETE -> {
                    mBeginning = ByteBufUtil.getBytes(bytes, found, to - found);
                    mBeginningAnswersRequest = head.answersRequest();
                    return;
                }
            }
            found = StatusLineSearch.indexOf(bytes, from, to);
        }
        final int prefixBytes = StatusLineSearch.lengthOfPrefixAtEnd(bytes, from, to);
        if (prefixBytes > 0) {
            mBeginning = ByteBufUtil.getBytes(bytes, to - prefixBytes, prefixBytes);
        }
    }

    private EmbeddedHead headAt(final ByteBuf bytes, final int from, final int to) {
        return new EmbeddedHeadReader(bytes, from, to, mIsIdentity).read();
    }

    /**
     * Decides at the end of the body.
     *
     * @param rest the bytes that have arrived after it; not changed
     * @return what they tell
     */
    Verdict end(final ByteBuf rest) {
        if (mAnswerEnd >= mTotalBytes && mAnswerEnd > 0 || mBeginningAnswersRequest) {
            return Verdict.CONTINUED;
        }
        if (!mHasContiguousRest || mBeginning.length == 0 && mOtherEnd <= mTotalBytes) {
            return Verdict.WHOLE;
        }
        if (!rest.isReadable()) {
            return mOtherEnd > mTotalBytes || mBeginning.length >= MIN_SUSPICIOUS_BYTES
                    ? Verdict.SUSPICIOUS
                    : Verdict.OPEN;
        }
        return endBefore(rest);
    }

    private Verdict endBefore(final ByteBuf rest) {
        final int known = Math.min(rest.readableBytes(), StatusLineSearch.length());
        if (StatusLineSearch.isAt(rest, rest.readerIndex(), known)) {
            return known < StatusLineSearch.length() ? Verdict.SUSPICIOUS : Verdict.WHOLE;
        }
        if (mOtherEnd > mTotalBytes) {
            return Verdict.CONTINUED;
        }
        final ByteBuf bytes = withBeginning(rest);
        final int from = bytes.readerIndex();
        final int length = Math.min(bytes.readableBytes(), StatusLineSearch.length());
        if (!StatusLineSearch.isAt(bytes, from, length)) {
            return Verdict.WHOLE;
        }
        if (length < StatusLineSearch.length()) {
            return Verdict.SUSPICIOUS;
        }
        return headAt(bytes, from, bytes.writerIndex()).state() == EmbeddedHead.State.NONE
                ? Verdict.WHOLE
                : Verdict.CONTINUED;
    }
}
