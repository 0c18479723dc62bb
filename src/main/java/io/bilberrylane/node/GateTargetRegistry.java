package io.bilberrylane.node;

import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/**
 * Passes the target's announcements to the gate, and announces changes of the target to other
 * nodes. A departure is acknowledged when it is kept beyond the life of this process.
 */
final class GateTargetRegistry implements TargetRegistry {
    private final Gate mGate;
    private final MembershipService mMembership;
    private final DepartureStore mDepartureStore;

    GateTargetRegistry(
            final Gate gate,
            final MembershipService membership,
            final DepartureStore departureStore) {
        mGate = gate;
        mMembership = membership;
        mDepartureStore = departureStore;
    }

    @Override
    public CompletionStage<Void> announce(final TargetAnnouncement announcement) {
        if (mGate.announce(announcement, Addresses.parse(announcement.address()))) {
            mMembership.announceTarget(mGate.record());
        }
        return mDepartureStore.save();
    }

    @Override
    public CompletionStage<Void> markLeaving(final String id, final OptionalLong incarnation) {
        if (mGate.markTargetLeaving(id, incarnation)) {
            mMembership.announceTarget(mGate.record());
        }
        return mDepartureStore.save();
    }

    @Override
    public CompletionStage<Void> withdraw() {
        if (mGate.departTarget()) {
            mMembership.announceTarget(Optional.empty());
        }
        return mDepartureStore.save();
    }
}
