package io.bilberrylane.peer;

/**
 * The parts of a body that were sent and are not credited yet. The credit bounds their bytes; their
 * number is bounded too, because each costs memory on its way, however short it is. Not
 * thread-safe.
 */
public final class SentParts {
    private static final int MAX_PARTS = 64;

    private final long[] mEnds = new long[MAX_PARTS];
    private long mSentBytes;
    private long mCreditedBytes;
    private long mSentParts;
    private long mCreditedParts;

    /**
     * Records a part.
     *
     * @param bytes its length, in bytes
     */
    public void send(final int bytes) {
        mSentBytes += bytes;
        mEnds[(int) (mSentParts++ % MAX_PARTS)] = mSentBytes;
    }

    /**
     * Records credit, which comes in the order of the parts.
     *
     * @param bytes the number of bytes that have left this program
     */
    public void credit(final int bytes) {
        mCreditedBytes += bytes;
        while (mCreditedParts < mSentParts
                && mEnds[(int) (mCreditedParts % MAX_PARTS)] <= mCreditedBytes) {
            mCreditedParts++;
        }
    }

    /**
     * Returns whether no further part may be sent yet.
     *
     * @return true if too many are on their way
     */
    public boolean isFull() {
        return mSentParts - mCreditedParts >= MAX_PARTS;
    }
}
