package io.bilberrylane.policy;

/**
 * Counts the runs in progress at one target, and how many of them repeat an earlier run. Not
 * thread-safe.
 */
public final class RunningCalls {
    private int mRuns;
    private int mRepeats;

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
     */
    public void recordStart(final int attempt) {
        mRuns++;
        mRepeats += attempt > 1 ? 1 : 0;
    }

    /**
     * Records the end of a run.
     *
     * @param attempt the number of the attempt, as at its start
     */
    public void recordEnd(final int attempt) {
        mRuns--;
        mRepeats -= attempt > 1 ? 1 : 0;
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
