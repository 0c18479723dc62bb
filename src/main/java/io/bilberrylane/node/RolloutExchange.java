package io.bilberrylane.node;

import io.bilberrylane.membership.Member;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Exchanges phases and evidence of roll-outs with other nodes. */
final class RolloutExchange {
    /** Bounds one message to about 2 KB: a row with four routes takes about 130 bytes. */
    static final int MAX_ROWS = 14;

    /** A stop is announced to so many nodes at once; the others learn it from the exchange. */
    private static final int MAX_ANNOUNCED = 64;

    private static final int ASKED_AT_START = 4;
    private static final long TIMEOUT_MILLIS = 1_000;

    private final NodeIdentity mIdentity;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final RolloutSynchronizer mSynchronizer;
    private final Random mRandom;

    RolloutExchange(
            final NodeIdentity identity,
            final MembershipService membership,
            final PeerLinks links,
            final RolloutSynchronizer synchronizer) {
        mIdentity = identity;
        mMembership = membership;
        mLinks = links;
        mSynchronizer = synchronizer;
        mRandom = new Random(identity.incarnation() + 5);
    }

    /** Exchanges with a random node beside a target of the services, or with any other. */
    void exchangeWithOne(final List<String> services) {
        final List<Member> others = others();
        final List<Member> involved = involved(others, services);
        final List<Member> choice = involved.isEmpty() ? others : involved;
        if (!choice.isEmpty()) {
            exchange(choice.get(mRandom.nextInt(choice.size())));
        }
    }

    /** Sends what is known to many nodes at once, first to those beside targets. */
    void announce() {
        final List<Member> others = new ArrayList<>(others());
        Collections.shuffle(others, mRandom);
        others.sort((a, b) -> Boolean.compare(b.target().isPresent(), a.target().isPresent()));
        final RolloutReport phases = mSynchronizer.report(0);
        others.stream().limit(MAX_ANNOUNCED).forEach(member -> exchange(member, phases));
    }

    /** Asks a few nodes at once, so that a started node does not wait for the next exchange. */
    void askSome() {
        final List<Member> others = new ArrayList<>(others());
        Collections.shuffle(others, mRandom);
        others.stream().limit(ASKED_AT_START).forEach(this::exchange);
    }

    private List<Member> others() {
        return mMembership.members().stream()
                .filter(Member::isPresent)
                .filter(member -> !member.host().equals(mIdentity.host()))
                .filter(member -> Addresses.isValid(member.peerAddress()))
                .toList();
    }

    private static List<Member> involved(final List<Member> others, final List<String> services) {
        return others.stream()
                .filter(
                        member ->
                                member.target()
                                        .filter(target -> services.contains(target.service()))
                                        .isPresent())
                .toList();
    }

    private void exchange(final Member member) {
        exchange(member, mSynchronizer.report(MAX_ROWS));
    }

    private void exchange(final Member member, final RolloutReport report) {
        final long requestNanos = System.nanoTime();
        final long requestWallMillis = System.currentTimeMillis();
        mLinks.request(
                Addresses.parse(member.peerAddress()),
                id -> new PeerMessage.RolloutSync(id, report.summaries(), report.rows()),
                TIMEOUT_MILLIS,
                reply ->
                        reply.ifPresent(
                                message -> onReply(message, requestNanos, requestWallMillis)));
    }

    private void onReply(
            final PeerMessage message, final long requestNanos, final long requestWallMillis) {
        if (message instanceof PeerMessage.RolloutSyncReply sync) {
            mSynchronizer.onReply(sync, requestNanos, requestWallMillis);
        }
    }
}
