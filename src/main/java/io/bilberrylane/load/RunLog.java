package io.bilberrylane.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Everything that callers saw in one run. */
final class RunLog {
    private static final long MOST_NANOS = 120_000_000_000L;
    private static final int DIGITS = 3;

    private final Map<Operation.Kind, Histogram> mLatency = new EnumMap<>(Operation.Kind.class);
    private final Histogram mVersusLatency = new ConcurrentHistogram(MOST_NANOS, DIGITS);
    private final Histogram mRefusalLatency = new ConcurrentHistogram(MOST_NANOS, DIGITS);
    private final Map<String, LongAdder> mEnds = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<CallResult> mResults = new ConcurrentLinkedQueue<>();
    private final long mMeasureFromNanos;

    RunLog(final long measureFromNanos) {
        mMeasureFromNanos = measureFromNanos;
        for (final Operation.Kind kind : Operation.Kind.values()) {
            mLatency.put(kind, new ConcurrentHistogram(MOST_NANOS, DIGITS));
        }
    }

    void add(final CallResult result) {
        mResults.add(result);
        mEnds.computeIfAbsent(end(result), key -> new LongAdder()).increment();
        if (result.call().dueNanos() - mMeasureFromNanos < 0) {
            return;
        }
        final long nanos = Math.max(1, Math.min(MOST_NANOS, result.latencyNanos()));
        if (!result.isSuccess()) {
            mRefusalLatency.recordValue(nanos);
        } else if (result.call().versus()) {
            mVersusLatency.recordValue(nanos);
        } else {
            mLatency.get(result.call().operation().kind()).recordValue(nanos);
        }
    }

    private static String end(final CallResult result) {
        if (result.isSuccess()) {
            return result.replayed() ? "answered (replayed)" : "answered";
        }
        return (result.errorCode().isEmpty() ? "status " + result.status() : result.errorCode())
                + (result.outcome().isEmpty() ? "" : " (" + result.outcome() + ")");
    }

    // -- queries

    Histogram latency(final Operation.Kind kind) {
        return mLatency.get(kind);
    }

    Histogram versusLatency() {
        return mVersusLatency;
    }

    Histogram refusalLatency() {
        return mRefusalLatency;
    }

    Map<String, Long> ends() {
        final Map<String, Long> ends = new TreeMap<>();
        mEnds.forEach((end, count) -> ends.put(end, count.sum()));
        return ends;
    }

    List<CallResult> results() {
        return new ArrayList<>(mResults);
    }
}
