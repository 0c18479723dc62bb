package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.IngressCall;
import io.bilberrylane.policy.IngressVerdict;
import io.bilberrylane.policy.Placement;
import java.util.Optional;

/** What the control of overload has decided on one call, and what has become of the call. */
final class OverloadDecision {
    /** The assumed length of a body whose length is not known, in bytes. */
    private static final long UNKNOWN_BODY_BYTES = 64 * 1024;

    private record Decided(IngressOverload overload, IngressCall call, IngressVerdict verdict) {}

    private final Route mRoute;
    private final CallHead mHead;
    private final Optional<Decided> mDecided;
    private boolean mRecorded;

    private OverloadDecision(
            final Route route, final CallHead head, final Optional<Decided> decided) {
        mRoute = route;
        mHead = head;
        mDecided = decided;
    }

    /** Returns the decision on a call whose service does not order calls by cost. */
    static OverloadDecision undecided(final Route route, final CallHead head) {
        return new OverloadDecision(route, head, Optional.empty());
    }

    static OverloadDecision of(
            final Route route,
            final CallHead head,
            final IngressOverload overload,
            final IngressCall call,
            final IngressVerdict verdict) {
        return new OverloadDecision(
                route,
                verdict.boosted() ? head.withPriority(0) : head,
                Optional.of(new Decided(overload, call, verdict)));
    }

    /** Returns the head of the call with the priority in force. */
    CallHead head() {
        return mHead;
    }

    Placement placement() {
        if (mDecided.isEmpty()) {
            return Placement.FIXED_MARGIN;
        }
        final long requestBytes = mHead.bodyBytes() < 0 ? UNKNOWN_BODY_BYTES : mHead.bodyBytes();
        final long responseBytes = mRoute.largeResponses() ? UNKNOWN_BODY_BYTES : 0;
        return new Placement(true, requestBytes + responseBytes, mHead.nested());
    }

    /** Returns whether the call is refused without an offer. */
    boolean isRefused() {
        return mDecided.map(decided -> !decided.verdict().offered()).orElse(false);
    }

    /** Returns whether the call goes with the highest priority for its organisation's sake. */
    boolean isBoosted() {
        return mDecided.map(decided -> decided.verdict().boosted()).orElse(false);
    }

    boolean isShortOfCapacity() {
        return mDecided.map(decided -> decided.verdict().shortOfCapacity()).orElse(false);
    }

    /** Records that a gate has admitted the call. */
    void recordAdmitted() {
        if (!mRecorded) {
            mRecorded = true;
            mDecided.ifPresent(decided -> decided.overload().recordAdmitted(decided.call()));
        }
    }

    /** Records that the call has ended without a run. */
    void recordRefused(final ErrorCode code, final int offers) {
        if (mDecided.isPresent() && isCapacityShort(code) && (offers > 0 || isRefused())) {
            final Decided decided = mDecided.get();
            final boolean byGates = offers > 0 && !mRecorded;
            mRecorded = true;
            decided.overload()
                    .recordRefused(mHead, decided.call(), decided.verdict(), offers, byGates);
        }
    }

    /** Records that the call has ended in whichever way. */
    void recordEnd() {
        if (!mRecorded && !isRefused()) {
            mRecorded = true;
            mDecided.ifPresent(decided -> decided.overload().recordWithdrawn(decided.call()));
        }
    }

    /**
     * Returns the time after which the caller should return.
     *
     * @param code the reason of the refusal
     * @param otherMillis the time if the call was not refused for lack of capacity
     */
    long retryAfterMillis(final ErrorCode code, final long otherMillis) {
        return isCapacityShort(code)
                ? mDecided.map(decided -> decided.verdict().retryAfterMillis()).orElse(otherMillis)
                : otherMillis;
    }

    private static boolean isCapacityShort(final ErrorCode code) {
        return switch (code) {
            case OVERLOADED, QUEUE_TIMEOUT, DEADLINE_EXCEEDED -> true;
            default -> false;
        };
    }
}
