package io.bilberrylane.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The limits, faults and record of a target stand-in. Thread-safe. */
final class TargetState {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double COLD_SERVICE_TIME_FACTOR = 3.0;
    private static final long OVERLOAD_REJECTION_MILLIS = 500;
    private static final int CRASH_EXIT_STATUS = 134;

    private final TargetSettings mSettings;
    private final Random mRandom = new Random(7);
    private final List<RunRecord> mRuns = new ArrayList<>();
    private TargetFaults mFaults = TargetFaults.NONE;
    private int mInService;
    private int mPeakInService;
    private int mConnectionCount;
    private int mPeakConnections;
    private int mWarmUpProgress;
    private long mSlotExcess;
    private long mColdExcess;
    private long mConnectionExcess;
    private long mRejectUntilNanos;
    private String mLastNonce = "";
    private boolean mSwapNext;
    private volatile Runnable mCrashAction = () -> Runtime.getRuntime().halt(CRASH_EXIT_STATUS);

    TargetState(final TargetSettings settings) {
        mSettings = settings;
    }

    // -- connections

    synchronized boolean tryAddConnection() {
        mConnectionCount++;
        mPeakConnections = Math.max(mPeakConnections, mConnectionCount);
        if (mConnectionCount > mSettings.connectionLimit()) {
            mConnectionExcess++;
            return false;
        }
        return true;
    }

    synchronized void removeConnection() {
        mConnectionCount--;
    }

    // -- requests

    /**
     * Starts a request and returns its HTTP status; only a request with 200 is run and recorded.
     */
    synchronized int startRun(final RunRecord run) {
        mInService++;
        mPeakInService = Math.max(mPeakInService, mInService);
        if (mInService > mSettings.slots()) {
            mSlotExcess++;
            return 503;
        }
        if (isCold() && mInService > mSettings.coldSlots()) {
            mColdExcess++;
            mWarmUpProgress = 0;
            mRejectUntilNanos = System.nanoTime() + OVERLOAD_REJECTION_MILLIS * 1_000_000;
        }
        if (System.nanoTime() - mRejectUntilNanos < 0 && mRejectUntilNanos != 0) {
            return 503;
        }
        if (mFaults.failFast()) {
            return 500;
        }
        mRuns.add(run);
        return 200;
    }

    synchronized void endRun(final RunRecord run, final boolean finished) {
        mInService--;
        run.end(finished);
        if (finished) {
            mWarmUpProgress++;
        }
    }

    synchronized long drawServiceNanos() {
        final double coldFactor = isCold() ? COLD_SERVICE_TIME_FACTOR : 1;
        final double randomFactor = 0.5 - 0.5 * Math.log(1 - mRandom.nextDouble());
        return (long)
                (mSettings.serviceMicros()
                        * 1_000.0
                        * randomFactor
                        * coldFactor
                        * mFaults.slowFactor());
    }

    /** Returns the nonce of a response; with crossed responses, every second one is wrong. */
    synchronized String responseNonce(final String requestNonce) {
        final String previousNonce = mLastNonce;
        mLastNonce = requestNonce;
        mSwapNext = !mSwapNext;
        return mFaults.crossed() && mSwapNext && !previousNonce.isEmpty()
                ? previousNonce
                : requestNonce;
    }

    private boolean isCold() {
        return mWarmUpProgress < mSettings.warmUpRequests();
    }

    // -- faults and record

    /** Sets the action of a request that crashes the target; by default, the process ends. */
    void setCrashAction(final Runnable action) {
        mCrashAction = action;
    }

    void crash() {
        mCrashAction.run();
    }

    synchronized void setFaults(final TargetFaults faults) {
        mFaults = faults;
        if (faults.turnCold()) {
            mWarmUpProgress = 0;
        }
    }

    synchronized TargetFaults faults() {
        return mFaults;
    }

    synchronized String record() {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("service", mSettings.service());
        root.put("peak", mPeakInService);
        root.put("peakConnections", mPeakConnections);
        root.put("slotExcess", mSlotExcess);
        root.put("coldExcess", mColdExcess);
        root.put("connectionExcess", mConnectionExcess);
        root.put("inService", mInService);
        final ArrayNode runs = root.putArray("runs");
        mRuns.forEach(run -> runs.add(run.toJson(MAPPER)));
        return root.toString();
    }
}
