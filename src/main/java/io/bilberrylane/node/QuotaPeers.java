package io.bilberrylane.node;

import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.policy.QuotaOwners;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The nodes among which the owners of limits are selected. Not thread-safe. */
final class QuotaPeers {
    /** A node that may be an owner. */
    private record Peer(String dataCentre, Optional<InetSocketAddress> address) {}

    /** The nodes that may serve calls, and the number of those and of the dead ones. */
    record View(Map<String, Peer> present, int known) {}

    private final NodeIdentity mIdentity;
    private View mView = new View(Map.of(), 0);

    QuotaPeers(final NodeIdentity identity) {
        mIdentity = identity;
    }

    static View viewOf(final List<Member> members) {
        final Map<String, Peer> present = new HashMap<>();
        int known = 0;
        for (final Member member : members) {
            known += member.isPresent() || member.status() == MemberStatus.DEAD ? 1 : 0;
            if (member.isPresent()) {
                present.put(member.host(), new Peer(member.dataCentre(), addressOf(member)));
            }
        }
        return new View(present, known);
    }

    private static Optional<InetSocketAddress> addressOf(final Member member) {
        return Addresses.isValid(member.peerAddress())
                ? Optional.of(Addresses.parse(member.peerAddress()))
                : Optional.empty();
    }

    /** Sets the nodes; returns whether others are present or known than before. */
    boolean update(final View view) {
        final boolean isChanged =
                view.known() != mView.known()
                        || !view.present().keySet().equals(mView.present().keySet());
        mView = view;
        return isChanged;
    }

    List<String> present() {
        return List.copyOf(mView.present().keySet());
    }

    int known() {
        return mView.known();
    }

    Optional<InetSocketAddress> address(final String host) {
        return Optional.ofNullable(mView.present().get(host)).flatMap(Peer::address);
    }

    /** Orders owners: this node, those of its data centre, then the others, evenly spread. */
    List<String> ordered(final List<String> owners) {
        return owners.stream()
                .sorted(
                        Comparator.comparingInt(this::distance)
                                .thenComparingLong(
                                        owner -> QuotaOwners.preference(mIdentity.host(), owner)))
                .toList();
    }

    private int distance(final String owner) {
        if (owner.equals(mIdentity.host())) {
            return 0;
        }
        final Peer peer = mView.present().get(owner);
        return peer != null && peer.dataCentre().equals(mIdentity.dataCentre()) ? 1 : 2;
    }
}
