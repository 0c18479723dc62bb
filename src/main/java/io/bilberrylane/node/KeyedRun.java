package io.bilberrylane.node;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.bilberrylane.peer.AnswerHead;
import io.bilberrylane.peer.CallHead;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** The run of one call with an idempotency key: what was sent and what is kept of the answer. */
final class KeyedRun {
    private final KeyDesk mDesk;
    private final String mKey;
    private final String mFingerprint;
    private final Hasher mRequestHasher = Hashing.sha256().newHasher();
    private final ByteArrayOutputStream mAnswer = new ByteArrayOutputStream();
    private AnswerHead mAnswerHead;
    private String mRequestDigest;
    private boolean mTooLong;
    private boolean mStarted;

    KeyedRun(final KeyDesk desk, final CallHead head) {
        mDesk = desk;
        mKey = head.service() + "\n" + head.key();
        mFingerprint = head.method() + " " + head.uri() + " " + head.bodyBytes();
    }

    // -- key

    void begin(final long windowNanos, final KeyedCall call) {
        mDesk.begin(mKey, mFingerprint, windowNanos, call);
    }

    boolean start() {
        mStarted = mDesk.start(mKey);
        return mStarted;
    }

    /** Gives the key back unless the target may have seen the call. */
    void release() {
        if (!mStarted) {
            mDesk.release(mKey);
        }
    }

    void breakOff() {
        if (mStarted) {
            mDesk.breakOff(mKey);
        }
    }

    void finish() {
        if (mAnswerHead.notRun()) {
            mDesk.disown(mKey);
            return;
        }
        final Optional<KeptAnswer> kept =
                mTooLong
                        ? Optional.empty()
                        : Optional.of(KeptAnswer.of(mAnswerHead, mAnswer.toByteArray(), digest()));
        mDesk.finish(mKey, mFingerprint, kept);
    }

    // -- bodies

    void addBody(final ByteBuf bytes) {
        mRequestHasher.putBytes(bytes.nioBuffer());
    }

    boolean hasDigest(final String digest) {
        return digest().equals(digest);
    }

    private String digest() {
        if (mRequestDigest == null) {
            mRequestDigest = mRequestHasher.hash().toString();
        }
        return mRequestDigest;
    }

    void onAnswerHead(final AnswerHead head) {
        mAnswerHead = head;
    }

    void onAnswerData(final ByteBuf bytes) {
        mTooLong |= mAnswer.size() + bytes.readableBytes() > KeptAnswer.MAX_BODY_BYTES;
        if (!mTooLong) {
            final byte[] copy = new byte[bytes.readableBytes()];
            bytes.getBytes(bytes.readerIndex(), copy);
            mAnswer.writeBytes(copy);
        }
    }
}
