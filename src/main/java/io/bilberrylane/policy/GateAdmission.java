package io.bilberrylane.policy;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which calls are in service at one target.
 *
 * <p>The count in service is exact, since the gate is the only way to its target. Waiting calls are
 * served by class; within a class the oldest goes first, or the newest while the queue is long. Not
 * thread-safe.
 */
public final class GateAdmission {
    private static final double SERVICE_WEIGHT = 0.1;

    /** What a failure counts for at least, so that failing fast attracts no calls. */
    private static final long FAILURE_COST_NANOS = 50_000_000L;

    /** A queue longer than this many times the allowance serves its newest call first. */
    private static final int OVERLOAD_FACTOR = 2;

    /** A queue never holds more than this many times the slots. */
    private static final int QUEUE_FACTOR = 8;

    /** Calls in a second that are kept free, since a call reaches its target a little later. */
    private static final double RATE_MARGIN = 1;

    private final int mSlots;
    private final ColdStart mColdStart;
    private final Map<Integer, Deque<Ticket>> mQueues = new TreeMap<>();
    private final Set<String> mInService = new HashSet<>();
    private final Map<String, Ticket> mWaiting = new HashMap<>();
    private double mServiceMicros;
    private final SecondRate mRate = new SecondRate();
    private long mColdUntilNanos;
    private boolean mColdKnown;
    private int mColdLimit;
    private int mWarmLimit;
    private boolean mAccepting = true;
    private int mPeakInService;

    private GateAdmission(final int slots, final int coldSlots, final int warmUpRequests) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
        mSlots = slots;
        mColdStart = ColdStart.of(slots, coldSlots, warmUpRequests);
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

    /**
     * Sets how many calls the target may get in a second.
     *
     * @param bounds what the fleet keeps within
     * @param coldPerSecond calls per second that a cold target bears; 0 without a limit
     */
    public void boundRates(final FleetBounds bounds, final double coldPerSecond) {
        if (coldPerSecond <= 0) {
            mColdLimit = 0;
            mWarmLimit = 0;
            return;
        }
        mColdLimit = Math.max(1, (int) Math.floor(coldPerSecond));
        mWarmLimit =
                (int)
                        Math.max(
                                mColdLimit,
                                Math.floor(
                                        coldPerSecond * bounds.coldOverage()
                                                + bounds.coldSlack()
                                                - RATE_MARGIN));
    }

    /**
     * Takes note of how long the target stays cold.
     *
     * @param millis the time in milliseconds; 0 when it is warm
     * @param nowNanos the monotonic clock
     */
    public void coldFor(final long millis, final long nowNanos) {
        mColdKnown = millis > 0;
        mColdUntilNanos = nowNanos + millis * 1_000_000L;
    }

    private int rateLimit(final long nowNanos) {
        final boolean cold = mColdKnown && nowNanos - mColdUntilNanos < 0;
        return cold ? mColdLimit : mWarmLimit;
    }

    private boolean hasRoom(final long nowNanos) {
        return mInService.size() < mColdStart.allowance()
                && mRate.waitNanos(rateLimit(nowNanos), nowNanos) == 0;
    }

    /**
     * Returns when a waiting call may enter although no call ends.
     *
     * @param nowNanos the monotonic clock
     * @return nanoseconds from now; 0 when only the end of a call helps
     */
    public long rateWaitNanos(final long nowNanos) {
        return mWaiting.isEmpty() ? 0 : mRate.waitNanos(rateLimit(nowNanos), nowNanos);
    }

    // -- queries

    /**
     * Returns the load now.
     *
     * @return a snapshot
     */
    public TargetLoad load() {
        return new TargetLoad(
                mInService.size(),
                mWaiting.size(),
                mColdStart.allowance(),
                Math.round(mServiceMicros),
                mAccepting);
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
        if (mWaiting.isEmpty() && hasRoom(nowNanos)) {
            enter(ticket, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        if (ticket.queueDeadlineNanos() - nowNanos <= 0
                || mWaiting.size() >= mSlots * QUEUE_FACTOR) {
            return new AdmissionDecision.Refused(ErrorCode.OVERLOADED);
        }
        mQueues.computeIfAbsent(ticket.classRank(), rank -> new ArrayDeque<>()).addLast(ticket);
        mWaiting.put(ticket.callId(), ticket);
        return new AdmissionDecision.Queued();
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
        if (mInService.remove(callId)) {
            if (serviceNanos >= 0) {
                mColdStart.complete(healthy, serviceNanos);
                learn(healthy ? serviceNanos : Math.max(serviceNanos, FAILURE_COST_NANOS));
            }
        } else {
            withdraw(callId);
        }
        return settle(nowNanos);
    }

    /**
     * Moves waiting calls into free slots and drops those that waited too long.
     *
     * @param nowNanos the monotonic clock
     * @return the queued calls that changed their state
     */
    public Settled settle(final long nowNanos) {
        final List<Ticket> expired = expire(nowNanos);
        final List<Ticket> admitted = new ArrayList<>();
        while (hasRoom(nowNanos)) {
            final Ticket next = next();
            if (next == null) {
                break;
            }
            enter(next, nowNanos);
            admitted.add(next);
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
        mQueues.clear();
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

    // -- queue

    private void enter(final Ticket ticket, final long nowNanos) {
        if (mInService.size() >= mColdStart.allowance()) {
            throw new BilberrylaneException(
                    ErrorCode.INVARIANT_VIOLATED, "requests in service exceed the allowance");
        }
        mInService.add(ticket.callId());
        mRate.note(nowNanos);
        mPeakInService = Math.max(mPeakInService, mInService.size());
    }

    private Ticket next() {
        final boolean overloaded = mWaiting.size() > mColdStart.allowance() * OVERLOAD_FACTOR;
        for (final Deque<Ticket> queue : mQueues.values()) {
            final Ticket ticket = overloaded ? queue.pollLast() : queue.pollFirst();
            if (ticket != null) {
                mWaiting.remove(ticket.callId());
                return ticket;
            }
        }
        return null;
    }

    private void withdraw(final String callId) {
        final Ticket ticket = mWaiting.remove(callId);
        if (ticket != null) {
            mQueues.get(ticket.classRank()).remove(ticket);
        }
    }

    private List<Ticket> expire(final long nowNanos) {
        final List<Ticket> expired = new ArrayList<>();
        for (final Ticket ticket : List.copyOf(mWaiting.values())) {
            if (ticket.queueDeadlineNanos() - nowNanos <= 0) {
                withdraw(ticket.callId());
                expired.add(ticket);
            }
        }
        return expired;
    }

    private void learn(final long serviceNanos) {
        final double micros = serviceNanos / 1_000.0;
        mServiceMicros =
                mServiceMicros == 0
                        ? micros
                        : mServiceMicros + SERVICE_WEIGHT * (micros - mServiceMicros);
    }
}
