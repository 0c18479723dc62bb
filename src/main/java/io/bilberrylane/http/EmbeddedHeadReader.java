package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the head of a response that stands in the body of another one. */
final class EmbeddedHeadReader {
    /** A longer head is not looked for; no more bytes of a body are kept. */
    static final int MAX_BYTES = 8 * 1024;

    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[0-9][ \t]+([1-5][0-9]{2})([ \t][^\\p{Cntrl}]*)?");
    private static final Pattern STATUS_LINE_PREFIX =
            Pattern.compile(
                    "HTTP/1\\.([0-9]([ \t]+([1-5]([0-9]([0-9]([ \t][^\\p{Cntrl}]*)?)?)?)?)?)?\r?");
    private static final Pattern FIELD =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:(.*)|[ \t].*");
    private static final Pattern FIELD_PREFIX =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]*[ \t]*(:.*)?\r?|[ \t].*\r?");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private final ByteBuf mBytes;
    private final int mFrom;
    private final int mLimit;
    private final boolean mMayGoOn;
    private final Predicate<String> mIsIdentity;
    private boolean mAnswersRequest;
    private boolean mHasBody = true;
    private boolean mIsEncoded;
    private long mBodyBytes = EmbeddedHead.UNKNOWN_LENGTH;

    /**
     * Creates a reader of the head at a position.
     *
     * @param bytes the bytes
     * @param from the position of {@code HTTP/1.}
     * @param to the position after the last byte
     * @param isIdentity tells whether a value is the identity of a request of the connection
     */
    EmbeddedHeadReader(
            final ByteBuf bytes, final int from, final int to, final Predicate<String> isIdentity) {
        mBytes = bytes;
        mFrom = from;
        mLimit = Math.min(to, from + MAX_BYTES);
        mMayGoOn = mLimit == to;
        mIsIdentity = isIdentity;
    }

    EmbeddedHead read() {
        int start = mFrom;
        while (start < mLimit) {
            final int lineEnd = mBytes.indexOf(start, mLimit, (byte) '\n');
            if (lineEnd < 0) {
                break;
            }
            final String line = line(start, lineEnd);
            if (line.isEmpty()) {
                return head(EmbeddedHead.State.COMPLETE, lineEnd + 1);
            }
            if (!(start == mFrom ? isStatusLine(line) : isField(line))) {
                return head(EmbeddedHead.State.NONE, 0);
            }
            start = lineEnd + 1;
        }
        final Pattern prefix = start == mFrom ? STATUS_LINE_PREFIX : FIELD_PREFIX;
        return head(
                mMayGoOn && prefix.matcher(text(start, mLimit)).matches()
                        ? EmbeddedHead.State.INCOMPLETE
                        : EmbeddedHead.State.NONE,
                0);
    }

    private EmbeddedHead head(final EmbeddedHead.State state, final int end) {
        final long encodedBytes = mIsEncoded ? EmbeddedHead.UNKNOWN_LENGTH : mBodyBytes;
        return new EmbeddedHead(state, end, mHasBody ? encodedBytes : 0, mAnswersRequest);
    }

    private boolean isStatusLine(final String line) {
        final Matcher status = STATUS_LINE.matcher(line);
        if (!status.matches()) {
            return false;
        }
        mHasBody = Headers.mayHaveBody("GET", Integer.parseInt(status.group(1)));
        return true;
    }

    private boolean isField(final String line) {
        final Matcher field = FIELD.matcher(line);
        if (!field.matches()) {
            return false;
        }
        if (field.group(1) != null) {
            final String name = field.group(1);
            final String value = field.group(2).trim();
            mAnswersRequest |= mIsIdentity.test(value);
            mIsEncoded |= HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name);
            if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                    && LENGTH.matcher(value).matches()) {
                mBodyBytes = Long.parseLong(value);
            }
        }
        return true;
    }

    private String line(final int from, final int lineEnd) {
        final boolean hasReturn = lineEnd > from && mBytes.getByte(lineEnd - 1) == '\r';
        return text(from, hasReturn ? lineEnd - 1 : lineEnd);
    }

    private String text(final int from, final int to) {
        return mBytes.toString(from, to - from, StandardCharsets.ISO_8859_1);
    }
}
