package io.bilberrylane.node;

import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.AdmissionRequest;
import io.bilberrylane.policy.WaitMode;
import java.util.concurrent.TimeUnit;

/** Makes the tickets of calls that ask a gate for a slot. */
final class AdmissionRequests {
    /** A call with less time left is refused rather than begun. */
    private static final long MIN_REMAINING_MILLIS = 15;

    /** How long a call waits for news of its target's speed. */
    private static final long SPEED_WAIT_MILLIS = 40;

    private AdmissionRequests() {}

    /**
     * Returns the ticket of a call.
     *
     * @param head the call
     * @param maxQueueMillis the longest time in the queue, in milliseconds
     * @param nowNanos the monotonic clock
     */
    static AdmissionRequest of(
            final CallHead head, final long maxQueueMillis, final long nowNanos) {
        return new AdmissionRequest(
                head.callId(),
                head.priority(),
                head.route(),
                after(nowNanos, Math.min(maxQueueMillis, queueMillis(head))),
                after(nowNanos, head.objectiveMillis()),
                after(nowNanos, head.timeoutMillis()),
                waitMode(head));
    }

    private static long after(final long nowNanos, final long millis) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long queueMillis(final CallHead head) {
        final long queueTimeoutMillis =
                head.queueTimeoutMillis() == 0 ? SPEED_WAIT_MILLIS : head.queueTimeoutMillis();
        return Math.min(queueTimeoutMillis, head.timeoutMillis() - MIN_REMAINING_MILLIS);
    }

    private static WaitMode waitMode(final CallHead head) {
        if (head.lastResort()) {
            return WaitMode.LAST_RESORT;
        }
        return head.queueTimeoutMillis() == 0 ? WaitMode.AWAIT_SPEED : WaitMode.AWAIT_SLOT;
    }
}
