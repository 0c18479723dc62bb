package io.bilberrylane.policy;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Decides which calls are in service at one target.
 *
 * <p>The count in service is exact, since the gate is the only way to its target. A call that
 * cannot end within its objective waits, for the queue time that it brings, until the target is
 * faster or less crowded. Waiting calls that can still end within their objective go first, by
 * rank, then by the time that is left. Not thread-safe.
 */
public final class GateAdmission {
    private static final double FAILURE_WEIGHT = 0.1;

    /** What a failure counts for at least, so that failing fast attracts no calls. */
    private static final long FAILURE_COST_NANOS = 50_000_000L;

    /** A queue never holds more than this many times the slots. */
    private static final int QUEUE_FACTOR = 8;

    /** A call with less time than this part of the usual work is not begun any more. */
    private static final double HOPELESS_PART = 0.6;

    /** Late calls leave this part of the slots to calls that can still be in time. */
    private static final double LATE_FILL = 0.7;

    /** Slow runs hold a slot for long; they leave more than half of the slots to others. */
    private static final double SLOW_FILL = 0.5;

    /** A call whose queue time ends sooner is not looked at again before. */
    private static final long LAST_LOOK_NANOS = 30_000_000L;

    private record Running(int route, int inService, int speedPercent) {}

    private final int mSlots;
    private final ColdStart mColdStart;
    private final WorkEstimates mWork;
    private final SpeedBelief mSpeed = new SpeedBelief();
    private final ColdRate mRate = new ColdRate();
    private final Map<String, Running> mInService = new HashMap<>();
    private final Map<String, Ticket> mWaiting = new LinkedHashMap<>();
    private double mFailurePart;
    private boolean mAccepting = true;
    private int mPeakInService;

    private GateAdmission(final int slots, final int coldSlots, final int warmUpRequests) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
        mSlots = slots;
        mColdStart = ColdStart.of(slots, coldSlots, warmUpRequests);
        mWork = WorkEstimates.of(slots);
    }

    /**
     * Returns the admission state of a target that has just announced itself.
     *
     * @param slots requests that it serves at once when warm, at least 1
     * @param coldSlots requests that it bears while cold
     * @param warmUpRequests healthy completions until the target is warm; 0 when not announced
     * @return a state with nothing in service
     */
    public static GateAdmission of(final int slots, final int coldSlots, final int warmUpRequests) {
        return new GateAdmission(slots, coldSlots, warmUpRequests);
    }

    // -- queries

    /**
     * Returns the load now.
     *
     * @return a snapshot
     */
    public TargetLoad load() {
        return load(mWork.meanNanos());
    }

    /**
     * Returns the load now as it matters to calls of one route.
     *
     * @param route the route
     * @return a snapshot with the time of such a call in service
     */
    public TargetLoad load(final int route) {
        return load(mWork.expectedNanos(route, 1));
    }

    private TargetLoad load(final double serviceNanos) {
        return new TargetLoad(
                mInService.size(),
                mWaiting.size(),
                allowance(),
                Math.round(serviceNanos / 1_000),
                mAccepting,
                mSpeed.percent(),
                (int) Math.round(mFailurePart * 100));
    }

    /**
     * Returns the most requests that were ever in service at once.
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
    public long coldFalls() {
        return mColdStart.falls();
    }

    /**
     * Returns whether the target's speed must be asked for before the next call can enter.
     *
     * @param nowNanos the monotonic clock
     * @return true when a call waits for nothing else
     */
    public boolean needsSpeed(final long nowNanos) {
        if (mWaiting.isEmpty() || mInService.size() >= allowance()) {
            return false;
        }
        return awaitsNews(nowNanos);
    }

    /** Returns whether the answer to a question may let a call into a free slot. */
    private boolean awaitsNews(final long nowNanos) {
        return mRate.waitNanos(nowNanos) == 0
                ? mSpeed.isStale(nowNanos)
                : mSpeed.isAskable() && mRate.awaitsNews(nowNanos);
    }

    /**
     * Returns when waiting calls should be looked at again although nothing happens.
     *
     * @param nowNanos the monotonic clock
     * @return nanoseconds from now; the largest value when nothing waits
     */
    public long nextLookNanos(final long nowNanos) {
        long next = Long.MAX_VALUE;
        for (final Ticket ticket : mWaiting.values()) {
            next = Math.min(next, Math.max(0, ticket.queueEndNanos() - nowNanos));
        }
        if (next == Long.MAX_VALUE || mInService.size() >= allowance()) {
            return next;
        }
        final long rate = mRate.waitNanos(nowNanos);
        return Math.min(next, Math.max(rate, mSpeed.lookAgainNanos(nowNanos)));
    }

    private int allowance() {
        return Math.min(mColdStart.allowance(), mWork.bestConcurrency());
    }

    // -- what is learned

    /**
     * Sets whether the target's speed can be asked for; otherwise it is taken as normal.
     *
     * @param askable whether a question has an answer
     */
    public void askSpeed(final boolean askable) {
        mSpeed.setAskable(askable);
    }

    /**
     * Takes note of the target's speed.
     *
     * @param percent how long work takes now, in percent of normal
     * @param nowNanos the monotonic clock
     */
    public void noteSpeed(final int percent, final long nowNanos) {
        mSpeed.note(percent, nowNanos);
    }

    /**
     * Takes note of a question that had no answer; the speed is taken as normal for a moment.
     *
     * @param nowNanos the monotonic clock
     */
    public void speedUnknown(final long nowNanos) {
        mSpeed.note(TargetLoad.NORMAL_SPEED, nowNanos);
    }

    /**
     * Sets how many calls the target may get in a second.
     *
     * @param bounds what the fleet keeps within
     * @param coldRatePerSecond calls per second that a cold target bears; 0 without a limit
     */
    public void boundRates(final FleetBounds bounds, final double coldRatePerSecond) {
        mRate.bound(bounds, coldRatePerSecond);
    }

    /**
     * Takes note of how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 when it is warm
     * @param nowNanos the monotonic clock
     */
    public void coldFor(final long millis, final long nowNanos) {
        mRate.coldFor(millis, nowNanos);
    }

    /** Takes note that nothing is known of the target's coldness, as after an outage of it. */
    public void coldnessUnknown() {
        mRate.unknown();
    }

    // -- transitions

    /**
     * Asks for a slot.
     *
     * @param ticket the call
     * @param nowNanos the monotonic clock
     * @return admitted, queued, or refused without a run
     */
    public AdmissionDecision offer(final Ticket ticket, final long nowNanos) {
        Objects.requireNonNull(ticket, "ticket is null");
        if (!mAccepting) {
            return new AdmissionDecision.Refused(ErrorCode.LEAVING);
        }
        if (!isAheadOfAny(ticket, nowNanos) && hasRoom(nowNanos) && mayEnter(ticket, nowNanos)) {
            enter(ticket, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        if (ticket.queueEndNanos() - nowNanos <= 0
                || isImpatient(ticket, nowNanos)
                || mWaiting.size() >= mSlots * QUEUE_FACTOR
                || !canStartInTime(ticket, nowNanos)) {
            return new AdmissionDecision.Refused(ErrorCode.OVERLOADED);
        }
        mWaiting.put(ticket.callId(), ticket);
        return new AdmissionDecision.Queued();
    }

    private boolean isAheadOfAny(final Ticket ticket, final long nowNanos) {
        final Comparator<Ticket> order = order(nowNanos);
        return mWaiting.values().stream().anyMatch(other -> order.compare(other, ticket) < 0);
    }

    /** Returns whether the calls ahead leave the ticket a slot before its queue time ends. */
    private boolean canStartInTime(final Ticket ticket, final long nowNanos) {
        final Comparator<Ticket> order = order(nowNanos);
        double aheadNanos = 0;
        for (final Ticket other : mWaiting.values()) {
            if (order.compare(other, ticket) < 0) {
                aheadNanos += mWork.expectedNanos(other.route(), allowance());
            }
        }
        if (mInService.size() >= allowance()) {
            aheadNanos += mWork.meanNanos() / 2;
        }
        final double startNanos = aheadNanos / Math.max(1, allowance());
        final double endNanos = startNanos + mWork.expectedNanos(ticket.route(), allowance());
        return nowNanos + (long) startNanos - ticket.queueEndNanos() <= 0
                && nowNanos + (long) endNanos - ticket.deadlineNanos() <= 0;
    }

    /**
     * Takes a call out of service or out of the queue.
     *
     * @param callId the call
     * @param healthy whether the target answered without a server error
     * @param serviceNanos time in service in nanoseconds; negative when the target was not asked
     * @param nowNanos the monotonic clock
     * @return the queued calls that changed their state
     */
    public Settled release(
            final String callId,
            final boolean healthy,
            final long serviceNanos,
            final long nowNanos) {
        final Running running = mInService.remove(callId);
        if (running == null) {
            mWaiting.remove(callId);
        } else if (serviceNanos >= 0) {
            mColdStart.complete(healthy, serviceNanos);
            mFailurePart += FAILURE_WEIGHT * ((healthy ? 0 : 1) - mFailurePart);
            learn(running, healthy, serviceNanos, nowNanos);
        }
        return settle(nowNanos);
    }

    private void learn(
            final Running running,
            final boolean healthy,
            final long serviceNanos,
            final long nowNanos) {
        final double normal =
                serviceNanos * (double) TargetLoad.NORMAL_SPEED / running.speedPercent();
        final double counted = healthy ? normal : Math.max(normal, FAILURE_COST_NANOS);
        mWork.learn(running.route(), running.inService(), counted, nowNanos);
    }

    /**
     * Moves waiting calls into free slots and drops those whose time is up.
     *
     * @param nowNanos the monotonic clock
     * @return the queued calls that changed their state
     */
    public Settled settle(final long nowNanos) {
        final List<Ticket> expired = new ArrayList<>();
        final List<Ticket> admitted = new ArrayList<>();
        final List<Ticket> ordered = new ArrayList<>(mWaiting.values());
        ordered.sort(order(nowNanos));
        for (final Ticket ticket : ordered) {
            if (ticket.queueEndNanos() - nowNanos <= 0 || isHopeless(ticket, nowNanos)) {
                mWaiting.remove(ticket.callId());
                expired.add(ticket);
            } else if (hasRoom(nowNanos) && mayEnter(ticket, nowNanos)) {
                mWaiting.remove(ticket.callId());
                enter(ticket, nowNanos);
                admitted.add(ticket);
            } else if (isImpatient(ticket, nowNanos)) {
                mWaiting.remove(ticket.callId());
                expired.add(ticket);
            }
        }
        return new Settled(admitted, expired);
    }

    /**
     * Admits no new call from now on; waiting calls leave the queue.
     *
     * @return the calls that waited; none of them was run
     */
    public List<Ticket> stop() {
        mAccepting = false;
        final List<Ticket> waiting = List.copyOf(mWaiting.values());
        mWaiting.clear();
        return waiting;
    }

    /** Admits calls again, beginning with the cold concurrency. */
    public void resume() {
        if (!mAccepting) {
            mAccepting = true;
            mColdStart.fall();
        }
    }

    /** Returns the allowance to the cold concurrency, as after an announced cold start. */
    public void turnCold() {
        mColdStart.fall();
    }

    // -- entry

    private boolean hasRoom(final long nowNanos) {
        return mInService.size() < allowance() && mRate.waitNanos(nowNanos) == 0;
    }

    /** Returns whether a call should enter a free slot now rather than wait or go elsewhere. */
    private boolean mayEnter(final Ticket ticket, final long nowNanos) {
        if (mSpeed.isStale(nowNanos)) {
            return false;
        }
        final double normal = mWork.expectedNanos(ticket.route(), mInService.size() + 1);
        final double now = normal * mSpeed.percent() / TargetLoad.NORMAL_SPEED;
        if (nowNanos + (long) now - ticket.objectiveNanos() <= 0) {
            return true;
        }
        if (isLate(ticket, nowNanos) && mInService.size() >= allowance() * LATE_FILL) {
            return false;
        }
        return !mSpeed.isSlow()
                || ticket.patience() == Patience.LAST_RESORT && isLastChance(ticket, now, nowNanos);
    }

    /**
     * Returns whether a slow target should begin now: the call has waited for a faster one as long
     * as it may, can still end before its deadline, and leaves most slots to others.
     */
    private boolean isLastChance(
            final Ticket ticket, final double expectedNanos, final long nowNanos) {
        final double leftNanos = ticket.deadlineNanos() - nowNanos;
        final boolean queueEnds = ticket.queueEndNanos() - nowNanos <= LAST_LOOK_NANOS;
        return queueEnds
                && expectedNanos <= leftNanos
                && mInService.size() < allowance() * SLOW_FILL;
    }

    private void enter(final Ticket ticket, final long nowNanos) {
        if (mInService.size() >= mColdStart.allowance()) {
            throw new BilberrylaneException(
                    ErrorCode.INVARIANT_VIOLATED, "requests in service exceed the allowance");
        }
        final int inService = mInService.size() + 1;
        mInService.put(ticket.callId(), new Running(ticket.route(), inService, mSpeed.percent()));
        mRate.note(nowNanos);
        mPeakInService = Math.max(mPeakInService, inService);
    }

    /** Orders calls that can still end within their objective first. */
    private Comparator<Ticket> order(final long nowNanos) {
        return Comparator.comparing((Ticket ticket) -> isLate(ticket, nowNanos))
                .thenComparingInt(Ticket::rank)
                .thenComparingLong(ticket -> ticket.objectiveNanos() - nowNanos);
    }

    /**
     * Returns whether a call goes elsewhere rather than wait for anything but news of the speed.
     */
    private boolean isImpatient(final Ticket ticket, final long nowNanos) {
        return ticket.patience() == Patience.NONE
                && !(mInService.size() < allowance() && awaitsNews(nowNanos));
    }

    /** Returns whether a call can no longer end before its deadline, even at normal speed. */
    private boolean isHopeless(final Ticket ticket, final long nowNanos) {
        final double least = mWork.expectedNanos(ticket.route(), 1) * HOPELESS_PART;
        return nowNanos + (long) least - ticket.deadlineNanos() > 0;
    }

    private boolean isLate(final Ticket ticket, final long nowNanos) {
        final double normal = mWork.expectedNanos(ticket.route(), 1);
        return nowNanos + (long) normal - ticket.objectiveNanos() > 0;
    }
}
