package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.outcome.CallTable;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.LocalRuns;
import io.bilberrylane.policy.RunningCalls;
import java.util.concurrent.TimeUnit;

/** The calls that the gate of this process has received: their outcomes and those that run. */
final class CallRegistry {
    /** The outcome of a call is kept for this long after its end. */
    static final long OUTCOME_RETENTION_SECONDS = 60;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A target may make calls for a request for this long after the request has ended. */
    private static final long NESTED_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final RankedLock mLock = RankedLock.of(LockRank.OUTCOME);
    private final CallTable mCalls =
            CallTable.of(TimeUnit.SECONDS.toNanos(OUTCOME_RETENTION_SECONDS));
    private final RunningCalls mRunningCalls = RunningCalls.none();
    private final long mStartNanos = System.nanoTime();
    private final long mIncarnation;

    /** Creates the registry of a process with the given incarnation. */
    CallRegistry(final long incarnation) {
        mIncarnation = incarnation;
    }

    // -- outcomes

    /** Reserves a call; returns false if it must not start here. */
    boolean reserve(final String callId) {
        return mLock.get(() -> mCalls.reserve(callId, System.nanoTime()));
    }

    /** Records the start of a call; returns false if it must not start any more. */
    boolean markStarted(final String callId) {
        return mLock.get(() -> mCalls.start(callId, System.nanoTime()));
    }

    void markFinished(final String callId) {
        mLock.run(() -> mCalls.finish(callId, System.nanoTime()));
    }

    void markRefused(final String callId) {
        mLock.run(() -> mCalls.refuse(callId, System.nanoTime()));
    }

    /**
     * Returns the phase of a call. A call that has not started can no longer start afterwards.
     *
     * @param callId the call's ID
     * @param incarnation the incarnation of the process to which the call was sent
     * @return the phase; STARTED, which promises nothing, if the call was sent to an earlier
     *     process or one that is not known, and this one has not seen it
     */
    CallPhase resolve(final String callId, final long incarnation) {
        final CallPhase phase = mLock.get(() -> mCalls.resolve(callId, System.nanoTime()));
        if (phase != CallPhase.NEVER || incarnation == mIncarnation) {
            return phase;
        }
        LOGGER.atInfo().log(
                "outcome of call %s is unknown here: it was sent to process %d, this is %d",
                callId, incarnation, mIncarnation);
        return CallPhase.STARTED;
    }

    /** Returns the number of calls whose outcome is not final. */
    int unfinishedCount() {
        return mLock.get(mCalls::unfinished);
    }

    // -- runs

    void recordRunStart(final CallHead head) {
        mLock.run(() -> mRunningCalls.recordStart(head.attempt(), head.priority()));
    }

    void recordRunEnd(final CallHead head) {
        mLock.run(
                () -> mRunningCalls.recordEnd(head.attempt(), head.priority(), System.nanoTime()));
    }

    int runningCount() {
        return mLock.get(mRunningCalls::count);
    }

    /**
     * Returns what is known of the calls that the local target makes on behalf of its runs. A
     * process that has just started cannot know the runs that its predecessor started.
     */
    LocalRuns localRuns() {
        final long now = System.nanoTime();
        final LocalRuns runs = mLock.get(() -> mRunningCalls.localRuns(NESTED_WINDOW_NANOS, now));
        return now - mStartNanos < NESTED_WINDOW_NANOS ? runs.assumed() : runs;
    }

    /**
     * Returns the probability that a call that the local target makes belongs to a repeated run.
     */
    double repeatProbability() {
        return mLock.get(mRunningCalls::repeatProbability);
    }
}
