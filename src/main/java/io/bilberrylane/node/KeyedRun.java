package io.bilberrylane.node;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.ResponseHead;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * The run of one call with an idempotency key: the digest of its request and the response to store.
 */
final class KeyedRun {
    private final KeyCoordinator mCoordinator;
    private final String mKey;
    private final String mFingerprint;
    private final Hasher mRequestHasher = Hashing.sha256().newHasher();
    private final ByteArrayOutputStream mResponseBody = new ByteArrayOutputStream();
    private ResponseHead mResponseHead;
    private String mRequestDigest;
    private boolean mResponseTooLong;
    private boolean mStarted;

    KeyedRun(final KeyCoordinator coordinator, final CallHead head) {
        mCoordinator = coordinator;
        mKey = keyOf(head);
        mFingerprint = head.method() + " " + head.uri() + " " + head.bodyBytes();
    }

    /** Returns the key with all that it is unique within: the service and the organisation. */
    private static String keyOf(final CallHead head) {
        final String organisation = head.organisation().isEmpty() ? "" : head.organisation() + "\n";
        return head.service() + "\n" + organisation + head.key();
    }

    // -- key

    void begin(final long windowNanos, final KeyedCall call) {
        mCoordinator.begin(mKey, mFingerprint, windowNanos, call);
    }

    boolean start() {
        mStarted = mCoordinator.start(mKey);
        return mStarted;
    }

    /** Releases the key unless the target may have received the call. */
    void release() {
        if (!mStarted) {
            mCoordinator.release(mKey);
        }
    }

    void markOutcomeUnknown() {
        if (mStarted) {
            mCoordinator.markOutcomeUnknown(mKey);
        }
    }

    void finish() {
        if (mResponseHead.notRun()) {
            mCoordinator.releaseNotRun(mKey);
            return;
        }
        final Optional<StoredResponse> stored =
                mResponseTooLong
                        ? Optional.empty()
                        : Optional.of(
                                StoredResponse.of(
                                        mResponseHead, mResponseBody.toByteArray(), digest()));
        mCoordinator.finish(mKey, mFingerprint, stored);
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

    void onResponseHead(final ResponseHead head) {
        mResponseHead = head;
    }

    void onResponseData(final ByteBuf bytes) {
        mResponseTooLong |=
                mResponseBody.size() + bytes.readableBytes() > StoredResponse.MAX_BODY_BYTES;
        if (!mResponseTooLong) {
            final byte[] copy = new byte[bytes.readableBytes()];
            bytes.getBytes(bytes.readerIndex(), copy);
            mResponseBody.writeBytes(copy);
        }
    }
}
