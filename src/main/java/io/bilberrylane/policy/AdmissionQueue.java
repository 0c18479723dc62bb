package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The calls that wait at a gate and their order. Calls that can still end within their objective
 * come first. Among those the order by cost is that of {@link CallRank}; the other order is by
 * priority and then by remaining time. Not thread-safe.
 */
final class AdmissionQueue {
    private final ServiceTimeEstimates mServiceTimes;
    private final EntryRules mRules;
    private final ServiceShares mShares;
    private final Map<String, AdmissionRequest> mWaiting = new LinkedHashMap<>();
    private boolean mOrderedByCost;

    AdmissionQueue(
            final ServiceTimeEstimates serviceTimes,
            final EntryRules rules,
            final ServiceShares shares) {
        mServiceTimes = serviceTimes;
        mRules = rules;
        mShares = shares;
    }

    void setOrderedByCost(final boolean orderedByCost) {
        mOrderedByCost = orderedByCost;
    }

    boolean isOrderedByCost() {
        return mOrderedByCost;
    }

    // -- content

    void add(final AdmissionRequest request) {
        mWaiting.put(request.callId(), request);
    }

    void remove(final String callId) {
        mWaiting.remove(callId);
    }

    int size() {
        return mWaiting.size();
    }

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    Collection<AdmissionRequest> requests() {
        return mWaiting.values();
    }

    /** Removes and returns all waiting calls. */
    List<AdmissionRequest> drain() {
        final List<AdmissionRequest> waiting = List.copyOf(mWaiting.values());
        mWaiting.clear();
        return waiting;
    }

    // -- order

    List<AdmissionRequest> ordered(final long nowNanos) {
        final List<AdmissionRequest> ordered = new ArrayList<>(mWaiting.values());
        if (ordered.size() < 2) {
            return ordered;
        }
        if (!mOrderedByCost) {
            ordered.sort(order(nowNanos));
            return ordered;
        }
        final List<CallRank> ranks = new ArrayList<>(ordered.size());
        for (final AdmissionRequest request : ordered) {
            ranks.add(rank(request, nowNanos));
        }
        Collections.sort(ranks);
        ordered.clear();
        for (final CallRank rank : ranks) {
            ordered.add(mWaiting.get(rank.callId()));
        }
        return ordered;
    }

    boolean hasAhead(final AdmissionRequest request, final long nowNanos) {
        if (mWaiting.isEmpty()) {
            return false;
        }
        final Predicate<AdmissionRequest> goesBefore = goesBefore(request, nowNanos);
        for (final AdmissionRequest other : mWaiting.values()) {
            if (goesBefore.test(other)) {
                return true;
            }
        }
        return false;
    }

    /** Returns what tells whether another call goes before a request. */
    private Predicate<AdmissionRequest> goesBefore(
            final AdmissionRequest request, final long nowNanos) {
        if (mOrderedByCost) {
            final CallRank rank = rank(request, nowNanos);
            return other -> rank(other, nowNanos).compareTo(rank) < 0;
        }
        final Comparator<AdmissionRequest> order = order(nowNanos);
        return other -> order.compare(other, request) < 0;
    }

    /** Returns the expected service time of the waiting calls that go before a request. */
    double aheadNanos(final AdmissionRequest request, final int inService, final long nowNanos) {
        if (mWaiting.isEmpty()) {
            return 0;
        }
        final Predicate<AdmissionRequest> goesBefore = goesBefore(request, nowNanos);
        double aheadNanos = 0;
        for (final AdmissionRequest other : mWaiting.values()) {
            if (goesBefore.test(other)) {
                aheadNanos += mServiceTimes.expectedNanos(other.route(), inService);
            }
        }
        return aheadNanos;
    }

    /**
     * Returns the last waiting call if a request goes before it; empty if the order is not by cost.
     */
    Optional<AdmissionRequest> lastBehind(final AdmissionRequest request, final long nowNanos) {
        if (!mOrderedByCost) {
            return Optional.empty();
        }
        final Comparator<AdmissionRequest> order = order(nowNanos);
        return mWaiting.values().stream()
                .max(order)
                .filter(last -> order.compare(request, last) < 0);
    }

    private Comparator<AdmissionRequest> order(final long nowNanos) {
        if (mOrderedByCost) {
            return Comparator.comparing(request -> rank(request, nowNanos));
        }
        return Comparator.comparing((AdmissionRequest request) -> mRules.isLate(request, nowNanos))
                .thenComparingInt(AdmissionRequest::priority)
                .thenComparingLong(request -> request.objectiveDeadlineNanos() - nowNanos);
    }

    private CallRank rank(final AdmissionRequest request, final long nowNanos) {
        final CallOrigin origin = request.origin();
        final long waitedNanos = nowNanos - origin.arrivalNanos();
        return new CallRank(
                mRules.isLate(request, nowNanos),
                request.priority(),
                origin.nested(),
                mShares.load(origin, nowNanos),
                mServiceTimes.expectedNanos(request.route(), 1) - waitedNanos,
                origin.arrivalNanos(),
                request.callId());
    }
}
