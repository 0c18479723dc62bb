package io.bilberrylane.policy;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which calls are in service at one target.
 *
 * <p>The number in service is exact, because the target receives calls only through this gate. A
 * call that cannot end within its objective waits, up to the queue deadline in its request, until
 * the target is faster or has less load. {@link AdmissionQueue} orders the waiting calls. Not
 * thread-safe.
 */
public final class GateAdmission {
    private static final double FAILURE_WEIGHT = 0.1;

    /**
     * The minimum service time that a failure counts as, so that a target that fails fast does not
     * attract calls.
     */
    private static final long MIN_FAILURE_SERVICE_NANOS = 50_000_000L;

    /** The maximum number of queued calls, as a multiple of the slots. */
    private static final int QUEUED_CALLS_PER_SLOT = 8;

    private record RunningCall(
            int route, int inService, int speedPercent, CallOrigin origin, double chargedNanos) {}

    private final int mSlots;
    private final ColdStart mColdStart;
    private final ServiceTimeEstimates mServiceTimes;
    private final SpeedEstimate mSpeed = new SpeedEstimate();
    private final ColdRateLimiter mColdRate = new ColdRateLimiter();
    private final Map<String, RunningCall> mInService = new HashMap<>();
    private final ServiceShares mShares = ServiceShares.none();
    private final AdmissionQueue mQueue;
    private final EntryRules mRules;
    private final StartLimit mStartLimit = new StartLimit();
    private double mFailureRate;
    private boolean mAccepting = true;
    private int mPeakInService;

    private GateAdmission(final int slots, final int coldSlots, final int warmUpRequests) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
        mSlots = slots;
        mColdStart = ColdStart.of(slots, coldSlots, warmUpRequests);
        mServiceTimes = ServiceTimeEstimates.of(slots);
        mRules = new EntryRules(mServiceTimes, mSpeed, mColdRate);
        mQueue = new AdmissionQueue(mServiceTimes, mRules, mShares);
    }

    /**
     * Returns the admission state of a target that has just announced itself.
     *
     * @param slots the number of requests that the target serves concurrently when warm, at least 1
     * @param coldSlots the number of requests that it serves concurrently while cold
     * @param warmUpRequests the number of healthy completions until the target is warm; 0 if not
     *     announced
     * @return a state with nothing in service
     */
    public static GateAdmission of(final int slots, final int coldSlots, final int warmUpRequests) {
        return new GateAdmission(slots, coldSlots, warmUpRequests);
    }

    // -- queries

    /**
     * Returns the current load.
     *
     * @return a snapshot
     */
    public TargetLoad load() {
        return load(mServiceTimes.meanNanos());
    }

    /**
     * Returns the current load with the service time of one route.
     *
     * @param route the route
     * @return a snapshot whose service time is that of a call of the route
     */
    public TargetLoad load(final int route) {
        return load(mServiceTimes.expectedNanos(route, 1));
    }

    private TargetLoad load(final double serviceNanos) {
        return new TargetLoad(
                mInService.size(),
                mQueue.size(),
                allowance(),
                Math.round(serviceNanos / 1_000),
                mAccepting,
                mSpeed.percent(),
                (int) Math.round(mFailureRate * 100));
    }

    /**
     * Returns the highest number of requests that were in service concurrently.
     *
     * @return a count since the announcement
     */
    public int peakInService() {
        return mPeakInService;
    }

    /**
     * Returns how often the target was found to have turned cold.
     *
     * @return a count since the announcement
     */
    public long coldResets() {
        return mColdStart.coldResets();
    }

    /**
     * Returns whether the target must be probed for its speed before the next call can enter.
     *
     * @param nowNanos the monotonic clock
     * @return true if a call waits only for the probe
     */
    public boolean needsSpeedProbe(final long nowNanos) {
        if (mQueue.isEmpty() || mInService.size() >= allowance()) {
            return false;
        }
        final boolean refusedElsewhere =
                mQueue.requests().stream()
                        .anyMatch(request -> request.waitMode() != WaitMode.AWAIT_SPEED);
        return mRules.awaitsProbe(refusedElsewhere, nowNanos);
    }

    /**
     * Returns when waiting calls must be checked again if no event occurs before.
     *
     * @param nowNanos the monotonic clock
     * @return nanoseconds from now; {@link Long#MAX_VALUE} if no call waits
     */
    public long nextRecheckNanos(final long nowNanos) {
        long nextNanos = Long.MAX_VALUE;
        for (final AdmissionRequest request : mQueue.requests()) {
            nextNanos = Math.min(nextNanos, Math.max(0, request.queueDeadlineNanos() - nowNanos));
        }
        if (nextNanos == Long.MAX_VALUE || mInService.size() >= allowance()) {
            return nextNanos;
        }
        final long rateWaitNanos = mColdRate.waitNanos(nowNanos);
        return Math.min(nextNanos, Math.max(rateWaitNanos, mSpeed.nextProbeNanos(nowNanos)));
    }

    private int allowance() {
        return Math.min(mColdStart.allowance(), mServiceTimes.bestConcurrency());
    }

    // -- observations

    /**
     * Sets whether the target can be probed for its speed; if not, its speed is taken as normal.
     *
     * @param probeable whether the target answers probes
     */
    public void setProbeable(final boolean probeable) {
        mSpeed.setProbeable(probeable);
    }

    /**
     * Records the speed of the target.
     *
     * @param percent the current service time, in percent of normal
     * @param nowNanos the monotonic clock
     */
    public void recordSpeed(final int percent, final long nowNanos) {
        mSpeed.update(percent, nowNanos);
    }

    /**
     * Records that the target has answered a probe without telling its speed. Unless it has told it
     * before, it is assumed to run at normal speed from now on.
     */
    public void recordNoSpeed() {
        mSpeed.recordNoReport();
    }

    /**
     * Records a probe that got no response; the speed is taken as normal for a short time.
     *
     * @param nowNanos the monotonic clock
     */
    public void recordProbeFailure(final long nowNanos) {
        mSpeed.assumeNormal(nowNanos);
    }

    /**
     * Sets how many calls the target may receive per second while it is, or may be, cold.
     *
     * @param bounds the bounds of the whole fleet
     * @param coldRatePerSecond the calls per second that a cold target can serve; 0 if unlimited
     */
    public void setColdRateLimit(final FleetBounds bounds, final double coldRatePerSecond) {
        mColdRate.setLimits(bounds, coldRatePerSecond);
    }

    /**
     * Sets how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 if the target is warm
     * @param nowNanos the monotonic clock
     */
    public void setColdMillis(final long millis, final long nowNanos) {
        mColdRate.setColdMillis(millis, nowNanos);
    }

    /** Marks as unknown whether the target is cold, for example after an outage of the target. */
    public void markColdStateUnknown() {
        mColdRate.markUnknown();
    }

    /**
     * Sets whether waiting calls go by what their delay costs callers ({@link CallRank}) instead of
     * by priority and remaining time.
     *
     * @param orderedByCost whether the order by cost applies
     */
    public void setOrderedByCost(final boolean orderedByCost) {
        mQueue.setOrderedByCost(orderedByCost);
    }

    // -- transitions

    /**
     * Requests a slot for a call.
     *
     * @param request the request of the call
     * @param nowNanos the monotonic clock
     * @return admitted, queued, or refused without a run
     */
    public AdmissionDecision offer(final AdmissionRequest request, final long nowNanos) {
        Objects.requireNonNull(request, "request is null");
        if (!mAccepting) {
            return new AdmissionDecision.Refused(ErrorCode.LEAVING);
        }
        if (!mQueue.hasAhead(request, nowNanos)
                && hasCapacity(request, nowNanos)
                && canEnter(request, nowNanos)) {
            enter(request, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        if (request.queueDeadlineNanos() - nowNanos <= 0
                || shouldRetryElsewhere(request, nowNanos)
                || !canStartInTime(request, nowNanos)) {
            return new AdmissionDecision.Refused(ErrorCode.OVERLOADED);
        }
        if (mQueue.size() < mSlots * QUEUED_CALLS_PER_SLOT) {
            mQueue.add(request);
            return new AdmissionDecision.Queued();
        }
        final Optional<AdmissionRequest> last = mQueue.lastBehind(request, nowNanos);
        if (last.isEmpty()) {
            return new AdmissionDecision.Refused(ErrorCode.OVERLOADED);
        }
        mQueue.remove(last.get().callId());
        mQueue.add(request);
        return new AdmissionDecision.Queued(last);
    }

    /**
     * Returns whether the calls ahead leave a slot to the request before its queue deadline, and
     * early enough to end before its deadline.
     */
    private boolean canStartInTime(final AdmissionRequest request, final long nowNanos) {
        double aheadNanos = mQueue.aheadNanos(request, allowance(), nowNanos);
        if (mInService.size() >= allowance()) {
            aheadNanos += mServiceTimes.meanNanos() / 2;
        }
        final double startNanos = aheadNanos / Math.max(1, allowance());
        final double endNanos =
                startNanos + mServiceTimes.expectedNanos(request.route(), allowance());
        return nowNanos + (long) startNanos - request.queueDeadlineNanos() <= 0
                && nowNanos + (long) endNanos - request.deadlineNanos() <= 0;
    }

    /**
     * Removes a call from service or from the queue.
     *
     * @param callId the call
     * @param healthy whether the target answered without a server error
     * @param serviceNanos the time in service, in nanoseconds; negative if the target did not
     *     receive the call
     * @param nowNanos the monotonic clock
     * @return the queued calls whose state changed
     */
    public QueueUpdate release(
            final String callId,
            final boolean healthy,
            final long serviceNanos,
            final long nowNanos) {
        final RunningCall running = mInService.remove(callId);
        if (running == null) {
            mQueue.remove(callId);
        } else if (serviceNanos >= 0) {
            mShares.charge(running.origin(), serviceNanos - running.chargedNanos(), nowNanos);
            mColdStart.recordCompletion(healthy, serviceNanos);
            mFailureRate += FAILURE_WEIGHT * ((healthy ? 0 : 1) - mFailureRate);
            learn(running, healthy, serviceNanos, nowNanos);
        } else {
            mShares.charge(running.origin(), -running.chargedNanos(), nowNanos);
        }
        return updateQueue(nowNanos);
    }

    private void learn(
            final RunningCall running,
            final boolean healthy,
            final long serviceNanos,
            final long nowNanos) {
        final double normalNanos =
                serviceNanos * (double) TargetLoad.NORMAL_SPEED_PERCENT / running.speedPercent();
        final double countedNanos =
                healthy ? normalNanos : Math.max(normalNanos, MIN_FAILURE_SERVICE_NANOS);
        mServiceTimes.recordCompletion(
                running.route(), running.inService(), countedNanos, nowNanos);
    }

    /**
     * Moves waiting calls into free slots and removes those whose time has expired.
     *
     * @param nowNanos the monotonic clock
     * @return the queued calls whose state changed
     */
    public QueueUpdate updateQueue(final long nowNanos) {
        if (mQueue.isEmpty()) {
            return QueueUpdate.NONE;
        }
        final List<AdmissionRequest> expired = new ArrayList<>();
        final List<AdmissionRequest> admitted = new ArrayList<>();
        double aheadNanos = 0;
        for (final AdmissionRequest request : mQueue.ordered(nowNanos)) {
            if (request.queueDeadlineNanos() - nowNanos <= 0
                    || mRules.isInfeasible(request, nowNanos)) {
                mQueue.remove(request.callId());
                expired.add(request);
            } else if (hasCapacity(request, nowNanos) && canEnter(request, nowNanos)) {
                mQueue.remove(request.callId());
                enter(request, nowNanos);
                admitted.add(request);
            } else if (shouldRetryElsewhere(request, nowNanos)
                    || mQueue.isOrderedByCost() && !canEnd(request, aheadNanos, nowNanos)) {
                mQueue.remove(request.callId());
                expired.add(request);
            } else {
                aheadNanos += mServiceTimes.expectedNanos(request.route(), allowance());
            }
        }
        return new QueueUpdate(admitted, expired);
    }

    /**
     * Stops admission; waiting calls leave the queue.
     *
     * @return the calls that waited; none of them was run
     */
    public List<AdmissionRequest> stop() {
        mAccepting = false;
        return mQueue.drain();
    }

    /**
     * Records that the target has requested no new work. Calls that were admitted before may start
     * only for a short time from now on, for example while the first bytes of their bodies arrive.
     *
     * @param nowNanos the monotonic clock
     */
    public void limitStarts(final long nowNanos) {
        mStartLimit.limit(nowNanos);
    }

    /**
     * Returns whether an admitted call may still start.
     *
     * @param nowNanos the monotonic clock
     * @return false if the target requested no new work some time ago
     */
    public boolean mayStart(final long nowNanos) {
        return mStartLimit.mayStart(nowNanos);
    }

    /** Resumes admission, starting at the cold concurrency. */
    public void resume() {
        if (!mAccepting) {
            mAccepting = true;
            mStartLimit.lift();
            mColdStart.resetToCold();
        }
    }

    /** Resets the allowance to the cold concurrency, for example after an announced cold start. */
    public void resetToCold() {
        mColdStart.resetToCold();
    }

    // -- admission

    /** A call waits only for the speed of a target while no gate has refused it yet. */
    private boolean hasCapacity(final AdmissionRequest request, final long nowNanos) {
        final boolean refusedElsewhere = request.waitMode() != WaitMode.AWAIT_SPEED;
        return mInService.size() < allowance()
                && mColdRate.waitNanos(refusedElsewhere, nowNanos) == 0;
    }

    private boolean canEnter(final AdmissionRequest request, final long nowNanos) {
        return mRules.canEnter(request, mInService.size(), allowance(), nowNanos);
    }

    private void enter(final AdmissionRequest request, final long nowNanos) {
        if (mInService.size() >= mColdStart.allowance()) {
            throw new BilberrylaneException(
                    ErrorCode.INVARIANT_VIOLATED, "requests in service exceed the allowance");
        }
        final int inService = mInService.size() + 1;
        final double expectedNanos = mServiceTimes.expectedNanos(request.route(), inService);
        mShares.charge(request.origin(), expectedNanos, nowNanos);
        mInService.put(
                request.callId(),
                new RunningCall(
                        request.route(),
                        inService,
                        mSpeed.percent(),
                        request.origin(),
                        expectedNanos));
        mColdRate.recordCall(nowNanos);
        mPeakInService = Math.max(mPeakInService, inService);
    }

    /**
     * Returns whether a call should try another gate instead of waiting for anything but a speed
     * report.
     */
    private boolean shouldRetryElsewhere(final AdmissionRequest request, final long nowNanos) {
        return request.waitMode() == WaitMode.AWAIT_SPEED
                && !(mInService.size() < allowance() && mRules.awaitsProbe(false, nowNanos));
    }

    /** Returns whether a call can end before its deadline behind the given service time. */
    private boolean canEnd(
            final AdmissionRequest request, final double aheadNanos, final long nowNanos) {
        final double startNanos = aheadNanos / Math.max(1, allowance());
        final double runNanos = mServiceTimes.expectedNanos(request.route(), allowance());
        return nowNanos + (long) (startNanos + runNanos) - request.deadlineNanos() <= 0;
    }
}
