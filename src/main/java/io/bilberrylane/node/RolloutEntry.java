package io.bilberrylane.node;

import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import io.bilberrylane.policy.Rollout;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutSettings;
import io.bilberrylane.policy.RolloutShare;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One roll-out as this node knows it. Guarded by the lock of {@link RolloutService}. */
final class RolloutEntry {
    /** How long a target of an earlier version gets no calls after the roll-out is complete. */
    private static final long RETIREMENT_NANOS = 15_000_000_000L;

    /** After so many replies of nodes that do not know the state either, nobody knows it. */
    private static final int UNKNOWN_STATE_REPLIES = 4;

    /** After so many of them the old version is served again. */
    private static final int MIN_REPLIES = 2;

    private static final long MIN_UNKNOWN_STATE_NANOS = 1_500_000_000L;

    private final Rollout mRollout;
    private final RolloutShare mShare;
    private final long mCreatedNanos;
    private final Set<String> mRetired = new HashSet<>();
    private final Set<String> mBlockedVersions = new HashSet<>();
    private boolean mKnown;
    private boolean mKnownFromStart;
    private boolean mWithdrawn;
    private boolean mTrialBegun;
    private int mUnknownStateReplies;
    private int mMaxPresent;
    private final RolloutLease mLease;
    private long mCompletedNanos;
    private RolloutPhase mLoggedPhase;

    RolloutEntry(
            final RolloutOrder order,
            final RolloutSettings settings,
            final boolean known,
            final double firstCredit,
            final long nowNanos,
            final long wallMillis) {
        mRollout = new Rollout(order, settings, nowNanos);
        mShare = new RolloutShare(firstCredit);
        mKnown = known;
        mKnownFromStart = known;
        mCreatedNanos = nowNanos;
        mLease = new RolloutLease(nowNanos);
        mCompletedNanos = nowNanos - RETIREMENT_NANOS;
        if (!mRollout.phase().isOpen()) {
            mLoggedPhase = mRollout.phase();
        }
        if (known) {
            mLease.renew(nowNanos, wallMillis);
        }
    }

    /** Keeps versions that an earlier order of the service has stopped from getting calls. */
    void blockStopped(final RolloutEntry earlier) {
        mBlockedVersions.addAll(earlier.mBlockedVersions);
        if (earlier.phase() == RolloutPhase.STOPPED) {
            mBlockedVersions.add(earlier.version());
        }
        mBlockedVersions.remove(version());
    }

    Rollout rollout() {
        return mRollout;
    }

    String service() {
        return mRollout.order().service();
    }

    String version() {
        return mRollout.order().version();
    }

    RolloutPhase phase() {
        return mRollout.phase();
    }

    /** Returns whether a phase was entered since the last call. */
    boolean hasUnloggedPhase() {
        final boolean isNew = mLoggedPhase != phase();
        mLoggedPhase = phase();
        return isNew;
    }

    /** Returns, once, that the first target of the new version can be used. */
    boolean beginsTrial(final int newSlots) {
        final boolean begins = !mTrialBegun && newSlots > 0 && phase() == RolloutPhase.TRIAL;
        mTrialBegun |= begins;
        return begins;
    }

    // -- knowledge

    boolean isKnown() {
        return mKnown;
    }

    /**
     * Returns whether the state is that of a node that has seen the order from its beginning: this
     * one, or one that has confirmed the state.
     */
    boolean isKnownFromStart() {
        return mKnownFromStart;
    }

    boolean isWithdrawn() {
        return mWithdrawn;
    }

    /** Stops the new version because its order was deleted. */
    void withdraw() {
        mWithdrawn = true;
        mRollout.stop("the order was deleted");
    }

    /** Returns whether nodes still have to agree on the roll-out or to write its state. */
    boolean isActive() {
        return phase().isOpen()
                || phase() == RolloutPhase.STOPPED
                        && !mWithdrawn
                        && mRollout.order().state() != RolloutState.ROLLED_BACK;
    }

    /** Returns whether another node has confirmed the state recently. */
    boolean isCurrent(final long nowNanos, final long wallMillis) {
        return mKnown && mLease.isValid(nowNanos, wallMillis);
    }

    /** Requires that another node confirms the state before this one relies on it again. */
    void endLease(final long nowNanos) {
        mLease.end(nowNanos);
    }

    /** Relies on this node alone if it has never seen another one. */
    void renewIfAlone(final long nowNanos, final long wallMillis) {
        final boolean isNew = mRollout.order().state() == RolloutState.PENDING;
        if (mMaxPresent <= 1
                && (mKnown || isNew && nowNanos - mCreatedNanos >= MIN_UNKNOWN_STATE_NANOS)) {
            mKnown = true;
            mLease.renew(nowNanos, wallMillis);
        }
    }

    void confirm(final long requestNanos, final long requestWallMillis) {
        mKnown = true;
        mKnownFromStart = true;
        mLease.renew(requestNanos, requestWallMillis);
    }

    /**
     * Records a reply of a node that does not know the state. If no node does, as after a power
     * failure of all machines, the state begins anew.
     */
    void recordUnknownStateReply(final long nowNanos) {
        mUnknownStateReplies++;
        mKnown |=
                mUnknownStateReplies >= UNKNOWN_STATE_REPLIES
                        && nowNanos - mCreatedNanos >= MIN_UNKNOWN_STATE_NANOS;
    }

    /** Returns the share of the nodes present, of the most that were present at one time. */
    double presentShare(final int present, final int left) {
        mMaxPresent = Math.max(mMaxPresent, present);
        return present / (double) Math.max(present, mMaxPresent - left);
    }

    void complete(final Set<String> otherVersions, final long nowNanos) {
        mCompletedNanos = nowNanos;
        mRetired.addAll(otherVersions);
        mRetired.remove(version());
    }

    // -- choice

    RolloutChoice choose(
            final List<TargetRef> targets,
            final int route,
            final boolean isFirstOffer,
            final long nowNanos,
            final long wallMillis) {
        final List<TargetRef> fresh = targets.stream().filter(this::isNew).toList();
        final List<TargetRef> old = targets.stream().filter(this::isUsableOld).toList();
        return switch (phase()) {
            case TRIAL ->
                    isFirstOffer && takesTrial(fresh, route, nowNanos, wallMillis)
                            ? new RolloutChoice(TrialFocus.choose(fresh, ageMillis(nowNanos)), old)
                            : RolloutChoice.of(old);
            case PROMOTING ->
                    isCurrent(nowNanos, wallMillis)
                            ? new RolloutChoice(fresh, old)
                            : RolloutChoice.of(old);
            // The gates beside both versions decide for themselves whether they let the call in.
            case MOVED ->
                    new RolloutChoice(fresh, isCurrent(nowNanos, wallMillis) ? List.of() : old);
            case STOPPED -> RolloutChoice.of(old);
            case COMPLETED -> RolloutChoice.of(remaining(targets, nowNanos));
        };
    }

    private boolean isNew(final TargetRef target) {
        return target.version().equals(version());
    }

    private boolean isUsableOld(final TargetRef target) {
        return !isNew(target) && !mBlockedVersions.contains(target.version());
    }

    private boolean takesTrial(
            final List<TargetRef> fresh,
            final int route,
            final long nowNanos,
            final long wallMillis) {
        return !fresh.isEmpty()
                && isCurrent(nowNanos, wallMillis)
                && mShare.take(mRollout.ingressShare(), mRollout.needsTrialOf(route));
    }

    private long ageMillis(final long nowNanos) {
        return mRollout.summary(true, nowNanos).ageMillis();
    }

    private List<TargetRef> remaining(final List<TargetRef> targets, final long nowNanos) {
        return targets.stream()
                .filter(target -> !isRetired(target.version(), nowNanos))
                .filter(target -> !mBlockedVersions.contains(target.version()))
                .toList();
    }

    private boolean isRetired(final String version, final long nowNanos) {
        return nowNanos - mCompletedNanos < RETIREMENT_NANOS && mRetired.contains(version);
    }

    /** Returns whether a call that a gate has let in may still start. */
    boolean mayRun(final String version, final long nowNanos, final long wallMillis) {
        if (!version.equals(version())) {
            return true;
        }
        return switch (phase()) {
            case TRIAL -> isCurrent(nowNanos, wallMillis) && mRollout.isWithinExposure();
            case PROMOTING, MOVED -> isCurrent(nowNanos, wallMillis);
            case STOPPED -> false;
            case COMPLETED -> true;
        };
    }

    /**
     * Returns whether a gate lets a call in.
     *
     * @param version the version of the target beside the gate
     * @param hasDrained whether the gate has told others that it is closed and empty
     */
    boolean mayAdmit(
            final String version,
            final boolean hasDrained,
            final long nowNanos,
            final long wallMillis) {
        if (version.equals(version())) {
            return mayRun(version, nowNanos, wallMillis);
        }
        if (mBlockedVersions.contains(version)) {
            return false;
        }
        return switch (phase()) {
            case TRIAL, PROMOTING ->
                    mKnown
                            || mUnknownStateReplies >= MIN_REPLIES
                            || nowNanos - mCreatedNanos >= MIN_UNKNOWN_STATE_NANOS;
            case MOVED -> false;
            // A node may have found this gate empty and be about to write that the roll-out is
            // complete; only the state in the platform tells that its write will fail.
            case STOPPED ->
                    !hasDrained
                            || mWithdrawn
                            || mRollout.order().state() == RolloutState.ROLLED_BACK;
            case COMPLETED -> !isRetired(version, nowNanos);
        };
    }
}
