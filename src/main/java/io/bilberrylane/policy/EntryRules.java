package io.bilberrylane.policy;

/**
 * Decides whether a call should enter a free slot now, by its remaining time and the speed of the
 * target.
 */
final class EntryRules {
    /**
     * A call whose remaining time is below this fraction of its expected service time is not
     * started any more.
     */
    private static final double INFEASIBLE_FRACTION = 0.6;

    /**
     * A late call enters only while less than this fraction of the allowance is in service, which
     * leaves slots to calls that can still meet their objective.
     */
    private static final double LATE_MAX_OCCUPANCY = 0.7;

    /**
     * A call starts on a slow target only while less than this fraction of the allowance is in
     * service: slow runs occupy a slot for long and must leave most slots to other calls.
     */
    private static final double SLOW_MAX_OCCUPANCY = 0.5;

    /** A call whose queue deadline is nearer than this is not checked again before the deadline. */
    private static final long LAST_RECHECK_NANOS = 30_000_000L;

    private final ServiceTimeEstimates mServiceTimes;
    private final SpeedEstimate mSpeed;
    private final ColdRateLimiter mColdRate;

    EntryRules(
            final ServiceTimeEstimates serviceTimes,
            final SpeedEstimate speed,
            final ColdRateLimiter coldRate) {
        mServiceTimes = serviceTimes;
        mSpeed = speed;
        mColdRate = coldRate;
    }

    /**
     * Returns whether the response to a probe may let a call into a free slot.
     *
     * @param refusedElsewhere whether other gates have refused the call
     */
    boolean awaitsProbe(final boolean refusedElsewhere, final long nowNanos) {
        return mColdRate.waitNanos(refusedElsewhere, nowNanos) == 0
                ? mSpeed.isStale(nowNanos)
                : mSpeed.isProbeable() && mColdRate.awaitsReport(nowNanos);
    }

    /**
     * Returns whether a call should enter a free slot now instead of waiting or trying another
     * gate.
     */
    boolean canEnter(
            final AdmissionRequest request,
            final int inService,
            final int allowance,
            final long nowNanos) {
        if (mSpeed.isStale(nowNanos)) {
            return false;
        }
        final double normalNanos = mServiceTimes.expectedNanos(request.route(), inService + 1);
        final double expectedNanos =
                normalNanos * mSpeed.percent() / TargetLoad.NORMAL_SPEED_PERCENT;
        if (nowNanos + (long) expectedNanos - request.objectiveDeadlineNanos() <= 0) {
            return true;
        }
        if (isLate(request, nowNanos) && inService >= allowance * LATE_MAX_OCCUPANCY) {
            return false;
        }
        return !mSpeed.isSlow()
                || request.waitMode() == WaitMode.LAST_RESORT
                        && isLastRecheck(request, nowNanos)
                        && expectedNanos <= request.deadlineNanos() - nowNanos
                        && inService < allowance * SLOW_MAX_OCCUPANCY;
    }

    private static boolean isLastRecheck(final AdmissionRequest request, final long nowNanos) {
        return request.queueDeadlineNanos() - nowNanos <= LAST_RECHECK_NANOS;
    }

    /** Returns whether a call can no longer end before its deadline, even at normal speed. */
    boolean isInfeasible(final AdmissionRequest request, final long nowNanos) {
        final double minNanos =
                mServiceTimes.expectedNanos(request.route(), 1) * INFEASIBLE_FRACTION;
        return nowNanos + (long) minNanos - request.deadlineNanos() > 0;
    }

    /** Returns whether a call can no longer end within its objective. */
    boolean isLate(final AdmissionRequest request, final long nowNanos) {
        final double normalNanos = mServiceTimes.expectedNanos(request.route(), 1);
        return nowNanos + (long) normalNanos - request.objectiveDeadlineNanos() > 0;
    }
}
