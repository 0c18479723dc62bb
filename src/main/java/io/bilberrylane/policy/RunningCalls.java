package io.bilberrylane.policy;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts the runs in progress at one target, and how many of them repeat an earlier run. Not
 * thread-safe.
 */
public final class RunningCalls {
    private int mRuns;
    private int mRepeats;
    private final SortedMap<Integer, Integer> mRunsByPriority = new TreeMap<>();
    private OptionalLong mLastEndNanos = OptionalLong.empty();

    private RunningCalls() {}

    /**
     * Returns a count without runs.
     *
     * @return the count
     */
    public static RunningCalls none() {
        return new RunningCalls();
    }

    /**
     * Records the start of a run.
     *
     * @param attempt the number of the attempt; above 1 if another target received the call before
     * @param priority the priority of the call; 0 is served first
     */
    public void recordStart(final int attempt, final int priority) {
        mRuns++;
        mRepeats += attempt > 1 ? 1 : 0;
        mRunsByPriority.merge(priority, 1, Integer::sum);
    }

    /**
     * Records the end of a run.
     *
     * @param attempt the number of the attempt, as at its start
     * @param priority the priority of the call, as at its start
     * @param nowNanos the monotonic clock, in nanoseconds
     */
    public void recordEnd(final int attempt, final int priority, final long nowNanos) {
        mRuns--;
        mRepeats -= attempt > 1 ? 1 : 0;
        mRunsByPriority.computeIfPresent(priority, (key, runs) -> runs > 1 ? runs - 1 : null);
        mLastEndNanos = OptionalLong.of(nowNanos);
    }

    /**
     * Returns what the runs tell of a call that the target may make now.
     *
     * @param windowNanos how long after the end of a run the target may still make a call on its
     *     behalf, in nanoseconds
     * @param nowNanos the monotonic clock, in nanoseconds
     * @return whether there is or was such a run, and the most urgent priority of those in progress
     */
    public LocalRuns localRuns(final long windowNanos, final long nowNanos) {
        final boolean hasEndedRecently =
                mLastEndNanos.isPresent() && nowNanos - mLastEndNanos.getAsLong() <= windowNanos;
        return new LocalRuns(
                mRuns > 0 || hasEndedRecently,
                mRunsByPriority.isEmpty()
                        ? OptionalInt.empty()
                        : OptionalInt.of(mRunsByPriority.firstKey()));
    }

    /**
     * Returns the number of runs.
     *
     * @return a count of runs in progress
     */
    public int count() {
        return mRuns;
    }

    /**
     * Returns the probability that a call that the target makes now belongs to a repeated run.
     *
     * @return the fraction of repeated runs; 0 if nothing runs
     */
    public double repeatProbability() {
        return mRuns == 0 ? 0 : (double) mRepeats / mRuns;
    }
}
