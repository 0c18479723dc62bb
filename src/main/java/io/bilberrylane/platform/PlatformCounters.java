package io.bilberrylane.platform;

import java.util.concurrent.atomic.LongAdder;

/** Counts the calls to the platform. */
public final class PlatformCounters {
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final LongAdder mFailures = new LongAdder();

    /** Creates counters at zero. */
    public PlatformCounters() {}

    /**
     * Returns reads and watches so far.
     *
     * @return a count
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Returns writes so far.
     *
     * @return a count
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Returns calls without a usable answer so far.
     *
     * @return a count
     */
    public long failures() {
        return mFailures.sum();
    }

    void countRead() {
        mReads.increment();
    }

    void countWrite() {
        mWrites.increment();
    }

    void countFailure() {
        mFailures.increment();
    }
}
