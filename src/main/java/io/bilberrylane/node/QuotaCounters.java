package io.bilberrylane.node;

import java.util.concurrent.atomic.LongAdder;

/** What a node counts of the limits of organisations, since its start. */
final class QuotaCounters {
    private final LongAdder mGranted = new LongAdder();
    private final LongAdder mReceived = new LongAdder();
    private final LongAdder mSpent = new LongAdder();
    private final LongAdder mReleased = new LongAdder();
    private final LongAdder mLapsed = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mRequests = new LongAdder();

    void recordGranted(final int calls) {
        mGranted.add(calls);
    }

    void recordReceived(final int calls) {
        mReceived.add(calls);
    }

    void recordSpent() {
        mSpent.increment();
    }

    void recordReleased() {
        mReleased.increment();
    }

    void recordLapsed(final int calls) {
        mLapsed.add(calls);
    }

    void recordRefused() {
        mRefused.increment();
    }

    void recordRequest() {
        mRequests.increment();
    }

    long received() {
        return mReceived.sum();
    }

    long spent() {
        return mSpent.sum();
    }

    long refused() {
        return mRefused.sum();
    }

    long requests() {
        return mRequests.sum();
    }

    void registerAt(final NodeMetrics metrics) {
        metrics.gauge(
                "bilberrylane.quota.granted",
                "Calls that this node granted to ingresses as an owner of a limit",
                mGranted::sum);
        metrics.gauge(
                "bilberrylane.quota.received",
                "Calls that owners of a limit granted to this ingress",
                mReceived::sum);
        metrics.gauge(
                "bilberrylane.quota.spent",
                "Calls of organisations with a limit that targets have or may have received",
                mSpent::sum);
        metrics.gauge(
                "bilberrylane.quota.released",
                "Reserved calls of organisations with a limit that no target received",
                mReleased::sum);
        metrics.gauge(
                "bilberrylane.quota.lapsed",
                "Granted calls that expired unspent at this ingress",
                mLapsed::sum);
        metrics.gauge(
                "bilberrylane.quota.refused",
                "Calls refused because the limit of their organisation was used up",
                mRefused::sum);
        metrics.gauge(
                "bilberrylane.quota.requests",
                "Requests for allowances that this ingress sent to other nodes",
                mRequests::sum);
    }
}
