package io.bilberrylane.policy;

/** The calls per second that one ingress receives for an organisation, averaged over a second. */
final class QuotaDemand {
    private static final double MEMORY_SECONDS = 1;

    /** The part of the lease time for which tokens are requested ahead of need. */
    private static final double AHEAD_FRACTION = 0.9;

    /** More tokens are requested when those left last for less than this time, in seconds. */
    private static final double LOW_SECONDS = 0.1;

    /** Tokens are requested ahead of need if so many calls are expected within the lease time. */
    private static final double MIN_AHEAD_CALLS = 2;

    /**
     * They are requested before a call needs one if so many calls are expected. With fewer, the
     * last ones would expire before they are spent, since the lease begins with the request.
     */
    private static final double MIN_EARLY_CALLS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mCalls;
    private long mNanos;

    QuotaDemand(final long nowNanos) {
        mNanos = nowNanos;
    }

    void record(final long nowNanos) {
        mCalls = callsPerSecond(nowNanos) * MEMORY_SECONDS + 1;
        mNanos = nowNanos;
    }

    double callsPerSecond(final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - mNanos) / NANOS_PER_SECOND;
        return mCalls * Math.exp(-seconds / MEMORY_SECONDS) / MEMORY_SECONDS;
    }

    /** Returns the calls to request in addition to those that wait. */
    int aheadCalls(final long leaseNanos, final long nowNanos) {
        final double calls = expectedCalls(leaseNanos, nowNanos);
        return calls < MIN_AHEAD_CALLS ? 0 : (int) Math.ceil(calls * AHEAD_FRACTION);
    }

    /** Returns whether more tokens are requested before a call waits for one. */
    boolean isAskDueEarly(final int tokens, final long leaseNanos, final long nowNanos) {
        return expectedCalls(leaseNanos, nowNanos) >= MIN_EARLY_CALLS
                && tokens <= callsPerSecond(nowNanos) * LOW_SECONDS;
    }

    /** Returns the calls that are expected within the lease time. */
    private double expectedCalls(final long leaseNanos, final long nowNanos) {
        return callsPerSecond(nowNanos) * leaseNanos / NANOS_PER_SECOND;
    }
}
