package io.bilberrylane.node;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Organisation;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.policy.AgingClock;
import io.bilberrylane.policy.QuotaAllowance;
import io.bilberrylane.policy.QuotaAnswer;
import io.bilberrylane.policy.QuotaBounds;
import io.bilberrylane.policy.QuotaGrant;
import io.bilberrylane.policy.QuotaOwner;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The limits in force at a node, what it grants of them as an owner, and the allowances of its
 * ingress with the calls that wait for them. Guarded by the lock of {@link QuotaService}, except
 * where it is said.
 */
final class QuotaState {
    /**
     * Machines of a fleet that lose power together are back within about half a second of each
     * other, and an owner grants at most a second after its start.
     */
    private static final long START_PERIOD_NANOS = 2_000_000_000L;

    /** A call that waits for an answer. */
    record Waiter(String organisation, EventExecutor executor, Consumer<QuotaAnswer> consumer) {
        void deliver(final QuotaAnswer answer) {
            if (executor.inEventLoop()) {
                consumer.accept(answer);
            } else {
                executor.execute(() -> consumer.accept(answer));
            }
        }
    }

    /** The inputs from which the limits and owners in force were computed. */
    record Inputs(Catalogue catalogue, QuotaBounds bounds, long changeCount) {
        boolean isSameAs(final Inputs other) {
            return catalogue == other.catalogue
                    && changeCount == other.changeCount
                    && bounds.equals(other.bounds);
        }

        boolean hasLimits() {
            return catalogue.organisations().stream().anyMatch(Organisation::isLimited);
        }

        private boolean hasSameLimits(final Inputs other) {
            return catalogue.organisations().equals(other.catalogue.organisations())
                    && bounds.equals(other.bounds);
        }
    }

    private final NodeIdentity mIdentity;
    private final QuotaCounters mCounters;
    private final QuotaPeers mPeers;
    private final long mStartNanos = System.nanoTime();
    private final AgingClock mClock = AgingClock.of(mStartNanos, System.currentTimeMillis());
    private final Map<String, QuotaAllowance> mAllowances = new HashMap<>();
    private final Map<Long, Waiter> mWaiters = new HashMap<>();
    private volatile Inputs mInputs = new Inputs(Catalogue.empty(), QuotaBounds.DEFAULT, -1);
    private volatile Set<String> mLimited = Set.of();
    private volatile boolean mHasOwner;
    private Optional<QuotaOwner> mOwner = Optional.empty();
    private long mNextWaiter;

    QuotaState(final NodeIdentity identity, final QuotaCounters counters) {
        mIdentity = identity;
        mCounters = counters;
        mPeers = new QuotaPeers(identity);
    }

    long agingNanos() {
        return mClock.now(System.nanoTime(), System.currentTimeMillis());
    }

    // -- limits and owners in force

    /** Returns the inputs in force; needs no lock. */
    Inputs inputs() {
        return mInputs;
    }

    /** Sets inputs without limits; needs no lock. */
    void setInputs(final Inputs inputs) {
        mInputs = inputs;
    }

    /** Returns whether an organisation has a limit; needs no lock. */
    boolean hasLimits() {
        return !mLimited.isEmpty();
    }

    /** Returns whether the organisation has a limit; needs no lock. */
    boolean isLimited(final String organisation) {
        return mLimited.contains(organisation);
    }

    /** Returns whether there has been a limit since the start; needs no lock. */
    boolean hasOwner() {
        return mHasOwner;
    }

    void tickOwner() {
        mOwner.ifPresent(owner -> owner.tick(agingNanos()));
    }

    void apply(final Inputs inputs, final QuotaPeers.View view) {
        final long nowNanos = agingNanos();
        final boolean areLimitsChanged = mOwner.isEmpty() || !inputs.hasSameLimits(mInputs);
        final QuotaOwner owner =
                mOwner.orElseGet(() -> QuotaOwner.of(mIdentity.host(), mStartNanos, nowNanos));
        mOwner = Optional.of(owner);
        mHasOwner = true;
        final boolean areNodesChanged = mPeers.update(view);
        if (areNodesChanged) {
            owner.updateNodes(mPeers.present(), mPeers.known(), nowNanos);
        }
        if (areLimitsChanged) {
            owner.updateLimits(inputs.catalogue().organisations(), inputs.bounds(), nowNanos);
        }
        mInputs = inputs;
        mLimited = owner.limited();
        mAllowances.keySet().retainAll(mLimited);
        if (areLimitsChanged || areNodesChanged) {
            mAllowances.forEach((name, allowance) -> updateOwners(owner, name, allowance));
        }
    }

    private void updateOwners(
            final QuotaOwner owner, final String organisation, final QuotaAllowance allowance) {
        allowance.update(owner.plan(organisation), mPeers.ordered(owner.owners(organisation)));
    }

    // -- allowances of this ingress

    QuotaAllowance allowance(final String organisation, final long nowNanos) {
        return mAllowances.computeIfAbsent(organisation, name -> newAllowance(name, nowNanos));
    }

    private QuotaAllowance newAllowance(final String organisation, final long nowNanos) {
        final QuotaOwner owner = mOwner.orElseThrow();
        final QuotaAllowance allowance =
                QuotaAllowance.of(
                        owner.plan(organisation),
                        mStartNanos + START_PERIOD_NANOS,
                        nowNanos,
                        mCounters::recordLapsed);
        updateOwners(owner, organisation, allowance);
        return allowance;
    }

    List<String> organisationsWithWaiters() {
        return mAllowances.entrySet().stream()
                .filter(entry -> entry.getValue().hasWaiters())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Adds a call that waits; returns its number. */
    long addWaiter(final Waiter waiter) {
        mWaiters.put(mNextWaiter, waiter);
        return mNextWaiter++;
    }

    Waiter removeWaiter(final long number) {
        return mWaiters.remove(number);
    }

    /** Takes the calls that wait for an organisation that no longer has a limit. */
    List<Waiter> takeUnlimitedWaiters() {
        final List<Waiter> unlimited =
                mWaiters.values().stream()
                        .filter(waiter -> !mLimited.contains(waiter.organisation()))
                        .toList();
        mWaiters.values().removeAll(unlimited);
        return unlimited;
    }

    // -- this node as an owner

    QuotaGrant grant(final String organisation, final int calls) {
        final QuotaGrant grant =
                mOwner.map(owner -> owner.grant(organisation, calls, agingNanos()))
                        .orElse(QuotaGrant.NOT_OWNER);
        mCounters.recordGranted(grant.calls());
        return grant;
    }

    boolean isSelf(final String host) {
        return host.equals(mIdentity.host());
    }

    Optional<InetSocketAddress> address(final String host) {
        return mPeers.address(host);
    }
}
