package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.CallOrigin;
import io.bilberrylane.policy.Candidate;
import io.bilberrylane.policy.CapacityEstimate;
import io.bilberrylane.policy.IngressCall;
import io.bilberrylane.policy.IngressVerdict;
import io.bilberrylane.policy.OverloadControl;
import io.bilberrylane.policy.ServiceCapacity;
import io.bilberrylane.policy.TargetLoad;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Decides for the calls of one ingress which are refused while capacity is short, and counts
 * offers. Services whose calls do not go by cost are only counted.
 */
final class IngressOverload {
    private final Supplier<Catalogue> mCatalogue;
    private final RankedLock mLock = RankedLock.of(LockRank.ROUTING);
    private final ServiceCapacity mCapacity = ServiceCapacity.empty();
    private final OverloadControl mControl;
    private final LongAdder mCalls = new LongAdder();
    private final LongAdder mOffers = new LongAdder();
    private volatile NodeMetrics mMetrics;

    IngressOverload(final Supplier<Catalogue> catalogue, final Random random) {
        mCatalogue = catalogue;
        mControl = OverloadControl.of(random);
    }

    void register(final NodeMetrics metrics) {
        mMetrics = metrics;
        metrics.gauge(
                "bilberrylane.offered.calls",
                "Calls from callers that have ended since the start",
                mCalls::sum);
        metrics.gauge(
                "bilberrylane.offers",
                "Offers of these calls to gates since the start",
                mOffers::sum);
    }

    // -- calls

    /** Decides on a call that has arrived. */
    OverloadDecision begin(
            final Route route, final CallHead head, final LongSupplier meanServiceMillis) {
        final Catalogue catalogue = mCatalogue.get();
        if (!catalogue.ordersByCost(head.service())) {
            return OverloadDecision.undecided(route, head);
        }
        final long now = System.nanoTime();
        final IngressCall call =
                new IngressCall(
                        head.service(),
                        head.priority(),
                        new CallOrigin(
                                head.organisation(),
                                catalogue.fairShares().weight(head.organisation()),
                                head.nested(),
                                now),
                        TimeUnit.MILLISECONDS.toNanos(meanServiceMillis.getAsLong()),
                        head.timeoutMillis(),
                        head.isKeyed());
        final IngressVerdict verdict =
                mLock.get(() -> mControl.decide(call, mCapacity.total(call.service(), now), now));
        return OverloadDecision.of(route, head, this, call, verdict);
    }

    void recordAdmitted(final IngressCall call) {
        mLock.run(() -> mControl.recordAdmitted(call, System.nanoTime()));
    }

    void recordWithdrawn(final IngressCall call) {
        mLock.run(() -> mControl.recordWithdrawn(call, System.nanoTime()));
    }

    /**
     * Records and logs the refusal of a call for lack of capacity.
     *
     * @param undecided whether the call was offered and no gate has admitted it
     */
    void recordRefused(
            final CallHead head,
            final IngressCall call,
            final IngressVerdict verdict,
            final int offers,
            final boolean undecided) {
        final String reason = offers == 0 ? "ingress" : "gates";
        if (undecided) {
            mLock.run(() -> mControl.recordRefused(call, System.nanoTime()));
        }
        final NodeMetrics metrics = mMetrics;
        if (metrics != null) {
            metrics.recordCapacityRefusal(call.service(), reason, head.priority());
        }
        final CapacityEstimate capacity = verdict.capacity();
        DecisionLog.event("capacity-refused")
                .with("request", head.requestId())
                .with("service", head.service())
                .with("organisation", head.organisation())
                .with("priority", head.priority())
                .with("nested", head.nested())
                .with("reason", reason)
                .with("offers", offers)
                .with("refusedShare", rounded(verdict.refusedShare()))
                .with("position", rounded(verdict.position()))
                .with("knownTargets", capacity.knownTargets())
                .with("slots", capacity.slots())
                .with("freeSlots", capacity.freeSlots())
                .with("waitingMillis", Math.round(capacity.waitingMillis()))
                .with("ageMillis", TimeUnit.NANOSECONDS.toMillis(capacity.ageNanos()))
                .with("retryAfterMillis", verdict.retryAfterMillis())
                .write();
    }

    private static double rounded(final double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    /** Counts a call that has ended and its offers. */
    void recordEnd(final int offers) {
        mCalls.increment();
        mOffers.add(offers);
    }

    // -- loads

    void recordLoad(final String service, final Candidate target, final TargetLoad load) {
        if (mCatalogue.get().ordersByCost(service)) {
            mLock.run(() -> mCapacity.record(service, target, load, System.nanoTime()));
        }
    }
}
