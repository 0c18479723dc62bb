package io.bilberrylane.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Decides at an ingress which calls are refused at once while the capacity of their service is
 * short. The share of refused calls follows what gates admit of the recent calls, and the lowest
 * ranks are refused. Some calls more than gates admit are always offered, so that the share falls
 * when capacity returns. Not thread-safe.
 */
public final class OverloadControl {
    /**
     * Calls offered per admitted call: 1 while gates refuse most of them, and up to this much more
     * if they admit all, so that the share follows returning capacity within a second or two. The
     * two agree where gates admit four of five offered calls.
     */
    private static final double MAX_EXTRA_OFFERED = 1.5;

    /** How fast the extra offered calls vanish as gates refuse more. */
    private static final double EXTRA_EXPONENT = 8;

    /** Time constant with which old outcomes count less, in nanoseconds. */
    private static final double DECAY_NANOS = 1e9;

    /** Refusals by gates, after the decay, from which on capacity is short. */
    private static final double MIN_REFUSALS = 0.25;

    /** Capacity is not short while this share of the slots of the known targets is free. */
    private static final double FREE_SHARE = 0.15;

    /**
     * An organisation whose calls are served less often than this fraction of all callers' is
     * boosted. The bound to keep is a quarter; one ingress sees few calls of an organisation.
     */
    private static final double BOOST_FRACTION = 0.6;

    /**
     * The fraction of the refused share that applies to nested calls. The share is an estimate, and
     * a refusal in excess wastes the work of the running request.
     */
    private static final double NESTED_FRACTION = 0.75;

    private static final int RECENT_CALLS = 64;
    private static final long RECENT_NANOS = 5_000_000_000L;
    private static final int MAX_SERVICES = 1_024;

    private record RecentCall(IngressCall call, int priority, long atNanos) {}

    /** Recent calls and their outcomes at one service. */
    private static final class ServiceState {
        private final Deque<RecentCall> mRecent = new ArrayDeque<>();
        private final ServiceShares mShares = ServiceShares.none();
        private double mArrived;
        private double mAdmitted;
        private double mRefusedByGates;
        private int mUndecided;
        private long mAtNanos;

        private void decay(final long nowNanos) {
            final double kept = Math.exp(-Math.max(0, nowNanos - mAtNanos) / DECAY_NANOS);
            mArrived *= kept;
            mAdmitted *= kept;
            mRefusedByGates *= kept;
            mAtNanos = nowNanos;
        }

        private void record(final boolean admitted, final long nowNanos) {
            decay(nowNanos);
            mAdmitted += admitted ? 1 : 0;
            mRefusedByGates += admitted ? 0 : 1;
            mUndecided = Math.max(0, mUndecided - 1);
        }

        private void addRecent(final IngressCall call, final int priority, final long nowNanos) {
            mRecent.addLast(new RecentCall(call, priority, nowNanos));
            while (mRecent.size() > RECENT_CALLS
                    || nowNanos - mRecent.getFirst().atNanos() > RECENT_NANOS) {
                mRecent.removeFirst();
            }
        }
    }

    private final Random mRandom;
    private final ServedShares mServed = new ServedShares();
    private final Map<String, ServiceState> mServices = new HashMap<>();

    private OverloadControl(final Random random) {
        mRandom = random;
    }

    /**
     * Returns a control that has seen no call.
     *
     * @param random the source of randomness
     * @return the control
     */
    public static OverloadControl of(final Random random) {
        return new OverloadControl(random);
    }

    // -- decision

    /**
     * Decides on a call that has arrived.
     *
     * @param call the call
     * @param capacity what is known of the capacity of its service
     * @param nowNanos the monotonic clock
     * @return whether it is offered to gates
     */
    public IngressVerdict decide(
            final IngressCall call, final CapacityEstimate capacity, final long nowNanos) {
        final ServiceState state = state(call.service());
        state.decay(nowNanos);
        state.mArrived++;
        final boolean boosted =
                !call.origin().organisation().isEmpty()
                        && mServed.isBelow(call.origin().organisation(), BOOST_FRACTION);
        final int priority = boosted ? 0 : call.priority();
        state.addRecent(call, priority, nowNanos);
        final double refusedShare =
                refusedShare(state, capacity) * (call.origin().nested() ? NESTED_FRACTION : 1);
        final boolean isShort = isShort(state, capacity);
        final double position =
                isShort ? position(call, priority, state, nowNanos) : mRandom.nextDouble();
        final boolean offered =
                call.mustOffer() || boosted || refusedShare <= 0 || position < 1 - refusedShare;
        if (!offered) {
            mServed.record(call.origin().organisation(), false, nowNanos);
        } else {
            state.mUndecided++;
        }
        return new IngressVerdict(
                offered,
                boosted,
                isShort,
                refusedShare,
                position,
                retryAfterMillis(call, capacity, refusedShare, position),
                capacity);
    }

    private static CallRank rank(
            final IngressCall call,
            final int priority,
            final double organisationLoad,
            final boolean byWork) {
        return new CallRank(
                false,
                priority,
                call.origin().nested(),
                organisationLoad,
                byWork ? call.workNanos() : 0,
                0,
                "");
    }

    /** Returns the share of calls to refuse; 0 while capacity is not known to be short. */
    private static double refusedShare(final ServiceState state, final CapacityEstimate capacity) {
        if (!isShort(state, capacity)) {
            return 0;
        }
        final double admittedShare = state.mAdmitted / (state.mAdmitted + state.mRefusedByGates);
        final double offeredPerAdmitted =
                1 + MAX_EXTRA_OFFERED * Math.pow(admittedShare, EXTRA_EXPONENT);
        final double admitted = state.mAdmitted + admittedShare * state.mUndecided;
        return Math.max(0, 1 - offeredPerAdmitted * admitted / state.mArrived);
    }

    private static boolean isShort(final ServiceState state, final CapacityEstimate capacity) {
        final boolean isFree =
                capacity.freeSlots() > 0 && capacity.freeSlots() >= capacity.slots() * FREE_SHARE;
        return capacity.knownTargets() > 0 && !isFree && state.mRefusedByGates >= MIN_REFUSALS;
    }

    /**
     * Returns the share of recent calls that go before a call, all by what their organisations have
     * had by now. Among calls of equal rank it is random, so that a share of them is refused rather
     * than all. The expected work counts in half of the decisions, so that long calls are refused
     * more often but not always.
     */
    private double position(
            final IngressCall call,
            final int priority,
            final ServiceState state,
            final long nowNanos) {
        final boolean byWork = mRandom.nextBoolean();
        final Map<String, Double> loads = new HashMap<>();
        final CallRank rank = rank(call, priority, load(call, state, loads, nowNanos), byWork);
        int before = 0;
        int equal = 0;
        for (final RecentCall recent : state.mRecent) {
            final CallRank other =
                    rank(
                            recent.call(),
                            recent.priority(),
                            load(recent.call(), state, loads, nowNanos),
                            byWork);
            final int order = other.compareWithoutArrival(rank);
            before += order < 0 ? 1 : 0;
            equal += order == 0 ? 1 : 0;
        }
        return (before + mRandom.nextDouble() * equal) / state.mRecent.size();
    }

    private static double load(
            final IngressCall call,
            final ServiceState state,
            final Map<String, Double> loads,
            final long nowNanos) {
        return loads.computeIfAbsent(
                call.origin().organisation(), name -> state.mShares.load(call.origin(), nowNanos));
    }

    private long retryAfterMillis(
            final IngressCall call,
            final CapacityEstimate capacity,
            final double refusedShare,
            final double position) {
        final double refusedPosition =
                refusedShare <= 0 ? position : (position - (1 - refusedShare)) / refusedShare;
        return RetryTimes.millis(
                call.timeoutMillis(),
                capacity.drainMillis(),
                refusedPosition,
                mRandom.nextDouble());
    }

    // -- outcomes

    /**
     * Records that a gate has admitted a call.
     *
     * @param call the call
     * @param nowNanos the monotonic clock
     */
    public void recordAdmitted(final IngressCall call, final long nowNanos) {
        final ServiceState state = state(call.service());
        state.record(true, nowNanos);
        state.mShares.charge(call.origin(), call.workNanos(), nowNanos);
        mServed.record(call.origin().organisation(), true, nowNanos);
    }

    /**
     * Records that a call was offered and has ended without a run for lack of capacity.
     *
     * @param call the call
     * @param nowNanos the monotonic clock
     */
    public void recordRefused(final IngressCall call, final long nowNanos) {
        state(call.service()).record(false, nowNanos);
        mServed.record(call.origin().organisation(), false, nowNanos);
    }

    /**
     * Records that a call was to be offered and has ended for another reason before a gate admitted
     * it. It tells nothing about the capacity, so it no longer counts as arrived.
     *
     * @param call the call
     * @param nowNanos the monotonic clock
     */
    public void recordWithdrawn(final IngressCall call, final long nowNanos) {
        final ServiceState state = state(call.service());
        state.decay(nowNanos);
        state.mUndecided = Math.max(0, state.mUndecided - 1);
        final double ageNanos = Math.max(0, nowNanos - call.origin().arrivalNanos());
        state.mArrived = Math.max(0, state.mArrived - Math.exp(-ageNanos / DECAY_NANOS));
    }

    private ServiceState state(final String service) {
        if (mServices.size() >= MAX_SERVICES && !mServices.containsKey(service)) {
            mServices.clear();
        }
        return mServices.computeIfAbsent(service, name -> new ServiceState());
    }
}
