package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The few calls per window that an ingress may make for an organisation while no owner replies. A
 * new ingress has none: it may not know yet how many nodes share the floors.
 */
final class QuotaFloor {
    private final long mStartNanos;
    private final Deque<Long> mSpent = new ArrayDeque<>();

    QuotaFloor(final long nowNanos) {
        mStartNanos = nowNanos;
    }

    boolean take(final QuotaPlan plan, final long nowNanos) {
        while (!mSpent.isEmpty() && nowNanos - mSpent.peekFirst() >= plan.windowNanos()) {
            mSpent.pollFirst();
        }
        if (nowNanos - mStartNanos < plan.windowNanos() || mSpent.size() >= plan.floor()) {
            return false;
        }
        mSpent.addLast(nowNanos);
        return true;
    }
}
