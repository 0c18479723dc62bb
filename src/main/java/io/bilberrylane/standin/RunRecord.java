package io.bilberrylane.standin;

/** The record of one request that a target stand-in ran. */
final class RunRecord {
    private final String mNonce;
    private final String mKey;
    private final String mMethod;
    private final boolean mKeyArrived;
    private final long mStartedNanos = System.nanoTime();
    private long mBodyBytes;
    private long mEndedNanos;
    private boolean mFinished;

    /** Creates a record; no request may carry the key of an organisation to a target. */
    RunRecord(final String nonce, final String key, final String method, final boolean keyArrived) {
        mKeyArrived = keyArrived;
        mNonce = nonce;
        mKey = key;
        mMethod = method;
    }

    void addBodyBytes(final int count) {
        mBodyBytes += count;
    }

    long bodyBytes() {
        return mBodyBytes;
    }

    void end(final boolean finished) {
        mFinished = finished;
        mEndedNanos = System.nanoTime();
    }

    com.fasterxml.jackson.databind.node.ObjectNode toJson(
            final com.fasterxml.jackson.databind.ObjectMapper mapper) {
        return mapper.createObjectNode()
                .put("nonce", mNonce)
                .put("key", mKey)
                .put("method", mMethod)
                .put("keyArrived", mKeyArrived)
                .put("bodyBytes", mBodyBytes)
                .put("startedNanos", mStartedNanos)
                .put("endedNanos", mEndedNanos)
                .put("finished", mFinished);
    }
}
