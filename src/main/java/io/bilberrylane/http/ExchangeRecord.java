package io.bilberrylane.http;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.ErrorCode;
import java.util.concurrent.TimeUnit;

/** What a node records of one exchange: its count, its metrics and its log lines. */
final class ExchangeRecord {
    private final IngressSettings mSettings;
    private final InboundHead mHead;
    private final long mStartNanos = System.nanoTime();
    private String mService = "";
    private CallerPermit mPermit;
    private boolean mAdmitted;
    private int mStatus;
    private long mWrittenBytes;
    private boolean mCutLogged;
    private boolean mCounted;

    ExchangeRecord(final IngressSettings settings, final InboundHead head) {
        mSettings = settings;
        mHead = head;
    }

    // -- facts

    void setService(final String service) {
        mService = service;
    }

    void setPermit(final CallerPermit permit) {
        mPermit = permit;
    }

    void setAdmitted() {
        mAdmitted = true;
    }

    boolean isAdmitted() {
        return mAdmitted;
    }

    void setStatus(final int status) {
        mStatus = status;
    }

    void addWrittenBytes(final int bytes) {
        mWrittenBytes += bytes;
    }

    // -- count

    void beginCount() {
        mSettings.openExchanges().incrementAndGet();
        mCounted = true;
    }

    /** Ends the count of the exchange; its response is written, or never will be. */
    void endCount() {
        if (mCounted) {
            mCounted = false;
            mSettings.openExchanges().decrementAndGet();
        }
    }

    // -- outcomes

    void recordResponse() {
        mSettings.metrics().recordResponse(mService, mStatus, elapsedNanos());
        recordOrganisation(mStatus / 100 + "xx");
    }

    void recordError(final ErrorCode code, final boolean notRun) {
        mSettings.metrics().recordError(mService, code.wireName(), notRun);
        recordOrganisation(notRun ? "not-run" : "unknown");
        if (code == ErrorCode.UNKNOWN_KEY) {
            KeyRejection.record(mPermit, mHead.requestId(), mSettings.metrics());
        }
    }

    private void recordOrganisation(final String outcome) {
        if (mPermit != null && mPermit.catalogue().requiresKeys()) {
            mSettings.metrics().recordOrganisation(mPermit.organisation(), outcome);
        }
    }

    /** Records that the caller did not get a whole response to a request that was read. */
    void recordCut(final String reason) {
        if (mCutLogged) {
            return;
        }
        mCutLogged = true;
        DecisionLog.event("answer-cut")
                .with("request", mHead.requestId())
                .with("service", mService)
                .with("reason", reason)
                .with("admitted", mAdmitted)
                .with("status", mStatus)
                .with("writtenBytes", mWrittenBytes)
                .with("leaving", mSettings.isLeaving())
                .with("elapsedMillis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos()))
                .write();
        mSettings.metrics().recordCut(mService, reason.split(":", 2)[0]);
    }

    private long elapsedNanos() {
        return System.nanoTime() - mStartNanos;
    }
}
