package io.bilberrylane.platform;

import java.util.concurrent.atomic.LongAdder;

/** Counts requests to the platform. */
public final class PlatformCounters {
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final LongAdder mFailures = new LongAdder();

    /** Creates counters with the value 0. */
    public PlatformCounters() {}

    /**
     * Returns the number of reads so far, including each request of a watch.
     *
     * @return the count
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Returns the number of writes so far.
     *
     * @return the count
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Returns the number of requests so far that failed or had no successful response.
     *
     * @return the count
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
