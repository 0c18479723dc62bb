package io.bilberrylane.node;

import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;
import java.util.Optional;

/**
 * Passes the target's announcements to the gate, and announces changes of the target to other
 * nodes.
 */
final class GateTargetRegistry implements TargetRegistry {
    private final Gate mGate;
    private final MembershipService mMembership;

    GateTargetRegistry(final Gate gate, final MembershipService membership) {
        mGate = gate;
        mMembership = membership;
    }

    @Override
    public void announce(final TargetAnnouncement announcement) {
        if (mGate.announce(announcement, Addresses.parse(announcement.address()))) {
            mMembership.announceTarget(mGate.record());
        }
    }

    @Override
    public void markLeaving(final String id) {
        if (mGate.markTargetLeaving(id)) {
            mMembership.announceTarget(mGate.record());
        }
    }

    @Override
    public void withdraw() {
        if (mGate.withdrawTarget()) {
            mMembership.announceTarget(Optional.empty());
        }
    }
}
