package io.bilberrylane.node;

import com.google.common.hash.Hashing;
import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.membership.Member;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.policy.Quarantine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Detects calls that crash their targets: those whose connections broke shortly before the target
 * was found to be gone. Notifies other nodes, so that the call is refused on every node.
 */
final class CrashDetector {
    private static final long CORRELATION_WINDOW_NANOS = 3_000_000_000L;
    private static final long NOTICE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_NOTIFIED_PEERS = 64;

    private record BrokenCall(long fingerprint, String process, long brokenNanos) {}

    private final NodeIdentity mIdentity;
    private final MembershipService mMembership;
    private final PeerLinks mLinks;
    private final RankedLock mLock = RankedLock.of(LockRank.OUTCOME);
    private final Quarantine mQuarantine = Quarantine.empty();
    private final Deque<BrokenCall> mBrokenCalls = new ArrayDeque<>();
    private final Random mRandom;

    CrashDetector(
            final NodeIdentity identity,
            final MembershipService membership,
            final PeerLinks links) {
        mIdentity = identity;
        mMembership = membership;
        mLinks = links;
        mRandom = new Random(identity.incarnation());
    }

    /**
     * Returns a hash of the method, the URI, the caller and the body's length, which identifies a
     * call when it is sent again.
     */
    static long fingerprint(final CallHead head, final String callerHeader) {
        final StringBuilder text = new StringBuilder(head.method()).append(' ').append(head.uri());
        for (final HeaderField field : head.headers()) {
            if (field.name().equalsIgnoreCase(callerHeader)) {
                text.append(' ').append(field.value());
            }
        }
        text.append(' ').append(head.bodyBytes());
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Returns whether a call is in quarantine. Computes the fingerprint only if the quarantine is
     * not empty.
     */
    boolean isBlocked(final CallHead head, final String callerHeader) {
        if (mLock.get(mQuarantine::isEmpty)) {
            return false;
        }
        final long fingerprint = fingerprint(head, callerHeader);
        return mLock.get(() -> mQuarantine.isBlocked(fingerprint, System.nanoTime()));
    }

    // -- crashes of the local target

    /** Records that a connection broke before its call was answered. */
    void onConnectionBroken(final long fingerprint, final String process) {
        mLock.run(
                () ->
                        mBrokenCalls.addLast(
                                new BrokenCall(fingerprint, process, System.nanoTime())));
    }

    /**
     * Records a crash of a target's process for each call whose connection to it broke within the
     * correlation window, and notifies other nodes.
     */
    void onTargetGone(final String process) {
        final List<BrokenCall> implicated =
                mLock.get(
                        () -> {
                            final long now = System.nanoTime();
                            mBrokenCalls.removeIf(
                                    call -> now - call.brokenNanos() > CORRELATION_WINDOW_NANOS);
                            final List<BrokenCall> matching = new ArrayList<>(mBrokenCalls);
                            matching.removeIf(call -> !call.process().equals(process));
                            mBrokenCalls.removeAll(matching);
                            return matching;
                        });
        for (final BrokenCall call : implicated) {
            recordCrash(call.fingerprint(), process);
            notifyPeers(call.fingerprint(), process);
        }
    }

    // -- crashes of any target

    void recordCrash(final long fingerprint, final String process) {
        final boolean newlyBlocked =
                mLock.get(() -> mQuarantine.recordCrash(fingerprint, process, System.nanoTime()));
        DecisionLog.event("crash-noted")
                .with("fingerprint", Long.toHexString(fingerprint))
                .with("target", process)
                .with("quarantined", newlyBlocked)
                .write();
    }

    private void notifyPeers(final long fingerprint, final String process) {
        final List<Member> peers =
                new ArrayList<>(
                        mMembership.members().stream()
                                .filter(Member::isPresent)
                                .filter(member -> !member.host().equals(mIdentity.host()))
                                .toList());
        Collections.shuffle(peers, mRandom);
        peers.stream()
                .limit(MAX_NOTIFIED_PEERS)
                .forEach(
                        member ->
                                mLinks.request(
                                        Addresses.parse(member.peerAddress()),
                                        id -> new PeerMessage.CrashNotice(id, fingerprint, process),
                                        NOTICE_TIMEOUT_MILLIS,
                                        reply -> {}));
    }
}
