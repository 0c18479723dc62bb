package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.LoadHeader;
import io.bilberrylane.http.TargetConnection;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.TargetLoad;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * What is known of one run of a call at the target, for the log line and the counts of its end.
 * Confined to the event loop of the call.
 */
final class RunReport {
    private final Gate mGate;
    private final CallHead mHead;
    private final long mOpenedNanos = System.nanoTime();
    private GateTarget mTarget;
    private TargetConnection mConnection;
    private long mStartedNanos;
    private TargetLoad mLoadAtStart = TargetLoad.ABSENT;
    private int mExchange;
    private int mStatus;
    private int mSkippedResponses;
    private String mLoadHeader = "";
    private boolean mNotRun;
    private int mSpeedPercent = TargetLoad.NORMAL_SPEED_PERCENT;

    /** Creates the report of a call that the gate has just received. */
    RunReport(final Gate gate, final CallHead head) {
        mGate = gate;
        mHead = head;
    }

    // -- state

    /** Returns the status of the response; 0 if there was none. */
    int status() {
        return mStatus;
    }

    /** Returns whether the target reports that it refused the call without running it. */
    boolean isNotRun() {
        return mNotRun;
    }

    /** Returns the time since the start of the run, in nanoseconds. */
    long serviceNanos() {
        return System.nanoTime() - mStartedNanos;
    }

    /** Returns the ID by which the caller knows the call, otherwise that of the call. */
    String requestId() {
        return mHead.requestId().isEmpty() ? mHead.callId() : mHead.requestId();
    }

    // -- events

    void onStart(final GateTarget target, final TargetConnection connection) {
        mTarget = target;
        mConnection = connection;
        mStartedNanos = System.nanoTime();
        mLoadAtStart = mGate.load(mHead.route());
    }

    /** Records the number of the exchange on its connection, once the request was sent. */
    void onSent() {
        mExchange = mConnection.exchangeCount();
    }

    /** Records a response; returns the load that the target reports with it. */
    Optional<LoadHeader> onResponse(final HttpResponse response) {
        final HeaderNames names = mGate.headerNames();
        mStatus = response.status().code();
        mSkippedResponses = mConnection.skippedResponses();
        mLoadHeader = response.headers().get(names.load(), "");
        mNotRun = names.isNotRun(mStatus, response.headers());
        final Optional<LoadHeader> load =
                mLoadHeader.isEmpty() ? Optional.empty() : LoadHeader.parse(mLoadHeader);
        mSpeedPercent =
                load.map(LoadHeader::speedPercent)
                        .filter(percent -> percent > 0)
                        .orElse(TargetLoad.NORMAL_SPEED_PERCENT);
        return load;
    }

    // -- end

    /** Counts the run for the version of the target; a run that the target refused is none. */
    void recordVersionEnd(final boolean hasFailed) {
        if (!mNotRun) {
            mGate.recordVersionEnd(
                    mHead,
                    mTarget,
                    hasFailed,
                    serviceNanos(),
                    Math.max(mLoadAtStart.speedPercent(), mSpeedPercent));
        }
    }

    void log(final String outcome) {
        DecisionLog.event("run-ended")
                .with("request", requestId())
                .with("call", mHead.callId())
                .with("connection", mConnection.name())
                .with("exchange", mExchange)
                .with("skippedResponses", mSkippedResponses)
                .with("priority", mHead.priority())
                .with("inFlight", mLoadAtStart.inFlight())
                .with("allowance", mLoadAtStart.allowance())
                .with("queued", mLoadAtStart.queued())
                .with("speedPercent", mLoadAtStart.speedPercent())
                .with("waitedMicros", (mStartedNanos - mOpenedNanos) / 1_000)
                .with("serviceMicros", serviceNanos() / 1_000)
                .with("loadAtEnd", mLoadHeader)
                .with("status", mStatus)
                .with("outcome", outcome)
                .write();
    }
}
