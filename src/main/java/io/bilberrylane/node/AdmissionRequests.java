package io.bilberrylane.node;

import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.AdmissionRequest;
import io.bilberrylane.policy.CallOrigin;
import io.bilberrylane.policy.WaitMode;
import java.util.concurrent.TimeUnit;

/** Creates the admission requests of calls at a gate. */
final class AdmissionRequests {
    /** A call with less time until its deadline is refused rather than started. */
    private static final long MIN_REMAINING_MILLIS = 15;

    /** The queue time of a call that waits only until the target's speed is known. */
    private static final long SPEED_WAIT_MILLIS = 40;

    private AdmissionRequests() {}

    /**
     * Returns the admission request of a call.
     *
     * @param head the call
     * @param fairShare the weight of the call's organisation, above 0
     * @param maxQueueMillis the longest time in the queue, in milliseconds
     * @param nowNanos the monotonic clock, in nanoseconds
     */
    static AdmissionRequest of(
            final CallHead head,
            final double fairShare,
            final long maxQueueMillis,
            final long nowNanos) {
        return new AdmissionRequest(
                head.callId(),
                head.priority(),
                head.route(),
                after(nowNanos, Math.min(maxQueueMillis, queueMillis(head))),
                after(nowNanos, head.objectiveMillis()),
                after(nowNanos, head.timeoutMillis()),
                waitMode(head),
                new CallOrigin(head.organisation(), fairShare, head.nested(), nowNanos));
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
