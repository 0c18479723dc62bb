package io.bilberrylane.policy;

import io.bilberrylane.catalogue.Organisation;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Grants allowances for the organisations whose limits this node owns in part. All times are of the
 * {@link AgingClock}, by which an owner notices that its machine was suspended. Not thread-safe.
 */
public final class QuotaOwner {
    /** The part of its capacity that the bucket of a new limit holds. */
    private static final double INITIAL_FRACTION = 0.5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String mSelf;
    private final QuotaFleetView mView;
    private final Map<String, Organisation> mLimits = new HashMap<>();
    private final Map<String, QuotaPlan> mPlans = new HashMap<>();
    private final Map<String, QuotaBucket> mBuckets = new HashMap<>();
    private QuotaBounds mBounds = QuotaBounds.DEFAULT;
    private OptionalLong mLimitedSinceNanos = OptionalLong.empty();

    private QuotaOwner(final String self, final long startNanos, final long nowNanos) {
        mSelf = self;
        mView = new QuotaFleetView(startNanos, nowNanos);
    }

    /**
     * Returns an owner of nothing.
     *
     * @param self the host of this node
     * @param startNanos the aging clock when the process started
     * @param nowNanos the aging clock
     * @return the owner
     */
    public static QuotaOwner of(final String self, final long startNanos, final long nowNanos) {
        return new QuotaOwner(self, startNanos, nowNanos);
    }

    // -- changes

    /**
     * Sets the limits in force.
     *
     * @param organisations the organisations; those without a limit are ignored
     * @param bounds how far limits may be exceeded
     * @param nowNanos the aging clock
     */
    public void updateLimits(
            final Collection<Organisation> organisations,
            final QuotaBounds bounds,
            final long nowNanos) {
        mBounds = bounds;
        final Map<String, Organisation> previous = Map.copyOf(mLimits);
        mLimits.clear();
        for (final Organisation organisation : organisations) {
            if (organisation.isLimited()) {
                mLimits.put(organisation.name(), organisation);
                forgetGrantsIfChanged(previous.get(organisation.name()), organisation);
            }
        }
        if (mLimitedSinceNanos.isEmpty() && !mLimits.isEmpty()) {
            mLimitedSinceNanos = OptionalLong.of(nowNanos);
        }
        updateOwnership(nowNanos);
        fillBucketsOfNewLimits(previous.keySet(), nowNanos);
    }

    /** A limit that is new to a node that has run for a window has no predecessor. */
    private void fillBucketsOfNewLimits(final Set<String> previous, final long nowNanos) {
        if (nowNanos - mView.startNanos() < mBounds.windowMillis() * NANOS_PER_MILLI) {
            return;
        }
        mBuckets.forEach(
                (organisation, bucket) -> {
                    if (!previous.contains(organisation)) {
                        bucket.fill(mPlans.get(organisation).partCapacity() * INITIAL_FRACTION);
                    }
                });
    }

    private void forgetGrantsIfChanged(final Organisation previous, final Organisation current) {
        final QuotaBucket bucket = mBuckets.get(current.name());
        final boolean isChanged =
                previous == null
                        || previous.ratePerSecond() != current.ratePerSecond()
                        || previous.burst() != current.burst();
        if (bucket != null && isChanged) {
            bucket.onLimitChanged();
        }
    }

    /**
     * Sets the nodes that this node knows.
     *
     * @param present the hosts that may serve calls, including this one
     * @param known the number of nodes that may serve calls or are dead but not forgotten
     * @param nowNanos the aging clock
     */
    public void updateNodes(final List<String> present, final int known, final long nowNanos) {
        checkForPause(nowNanos);
        mView.update(present, known, nowNanos);
        updateOwnership(nowNanos);
    }

    private void updateOwnership(final long nowNanos) {
        mPlans.clear();
        for (final Organisation limit : mLimits.values()) {
            final QuotaPlan plan =
                    QuotaPlan.of(limit.ratePerSecond(), limit.burst(), mBounds, mView.known());
            mPlans.put(limit.name(), plan);
            if (owners(limit.name()).contains(mSelf)) {
                mBuckets.computeIfAbsent(limit.name(), name -> new QuotaBucket(nowNanos));
            } else {
                mBuckets.remove(limit.name());
            }
        }
        mBuckets.keySet().retainAll(mLimits.keySet());
    }

    /**
     * Records that the process runs. Must be called at least every 100 ms: a longer gap tells the
     * owner that it was paused and may have been replaced.
     *
     * @param nowNanos the aging clock
     */
    public void tick(final long nowNanos) {
        checkForPause(nowNanos);
    }

    private void checkForPause(final long nowNanos) {
        if (mView.wasPausedAt(nowNanos)) {
            mBuckets.values().forEach(bucket -> bucket.empty(nowNanos));
        }
    }

    // -- decisions

    /**
     * Decides on a request for an allowance.
     *
     * @param organisation the name of the organisation
     * @param wanted the calls that the requester wants to make
     * @param nowNanos the aging clock
     * @return the allowance; of no calls if this node is no owner or cannot know yet
     */
    public QuotaGrant grant(final String organisation, final int wanted, final long nowNanos) {
        checkForPause(nowNanos);
        final QuotaBucket bucket = mBuckets.get(organisation);
        if (bucket == null) {
            return QuotaGrant.NOT_OWNER;
        }
        final boolean isFromStart = isFromStart(bucket);
        final long unsettledNanos =
                isFromStart
                        ? mView.unsettledNanosAfterStart(nowNanos)
                        : mView.unsettledNanos(bucket.ownerSinceNanos(), nowNanos);
        if (unsettledNanos > 0 && !bucket.isSettled()) {
            return new QuotaGrant(0, unsettledNanos);
        }
        final QuotaPlan plan = mPlans.get(organisation);
        if (isFromStart && !bucket.isSettled() && !bucket.isStarted()) {
            bucket.start(plan.startTokens(owners(organisation).indexOf(mSelf)));
        }
        return bucket.grant(plan, wanted, mView.share(nowNanos), nowNanos);
    }

    /** Returns whether this node is an owner since it first had limits after its start. */
    private boolean isFromStart(final QuotaBucket bucket) {
        return mLimitedSinceNanos.equals(OptionalLong.of(bucket.ownerSinceNanos()));
    }

    /**
     * Returns how the limit of an organisation is divided.
     *
     * @param organisation the name of an organisation with a limit
     * @return the plan, or null if the organisation has no limit
     */
    public QuotaPlan plan(final String organisation) {
        return mPlans.get(organisation);
    }

    /**
     * Returns the owners of an organisation's limit.
     *
     * @param organisation the name of an organisation
     * @return the hosts; empty if the organisation has no limit
     */
    public List<String> owners(final String organisation) {
        final QuotaPlan plan = mPlans.get(organisation);
        return plan == null ? List.of() : mView.owners().of(organisation, plan.owners());
    }

    /**
     * Returns the organisations that have a limit.
     *
     * @return a copy of their names
     */
    public Set<String> limited() {
        return Set.copyOf(mLimits.keySet());
    }

    /**
     * Returns the number of organisations whose limit this node owns in part.
     *
     * @return the number of buckets
     */
    public int size() {
        return mBuckets.size();
    }
}
