package io.bilberrylane.node;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.CallerPermit;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.LocalRuns;
import java.util.Optional;

/**
 * Who makes a call by the version of the configuration in force, and what the call takes from the
 * limit of its organisation. Confined to the event loop of the call.
 */
final class CallIdentity {
    private final CallEnvironment mEnvironment;
    private final Route mRoute;
    private final boolean mKeepsPriority;
    private CallHead mHead;
    private Optional<CallerPermit> mPermit;
    private CallQuota mQuota;

    /**
     * Creates the identity of a call.
     *
     * @param keepsPriority whether the priority of the call outlasts a change of the configuration
     */
    CallIdentity(
            final CallEnvironment environment,
            final Route route,
            final CallHead head,
            final Optional<CallerPermit> permit,
            final boolean keepsPriority) {
        mEnvironment = environment;
        mRoute = route;
        mHead = head;
        mPermit = permit;
        mKeepsPriority = keepsPriority;
        mQuota = environment.quota(head);
    }

    /** Returns the head of the call with the organisation and the priority in force. */
    CallHead head() {
        return mHead;
    }

    /** Returns what the call takes from the limit of the organisation in force. */
    CallQuota quota() {
        return mQuota;
    }

    /**
     * Identifies the caller again if the configuration has changed since; returns whether the call
     * is still accepted.
     */
    boolean renew() {
        final Catalogue current = mEnvironment.catalogue();
        if (mPermit.isEmpty() || mPermit.get().catalogue() == current) {
            return true;
        }
        final LocalRuns runs = mEnvironment.localRuns();
        final CallerPermit renewed = mPermit.get().renewed(current, mRoute, runs);
        if (renewed.isAccepted()) {
            final boolean neededKey = mPermit.get().catalogue().requiresKeys();
            mPermit = Optional.of(renewed);
            if (neededKey || current.requiresKeys()) {
                apply(renewed, runs);
            }
        }
        return renewed.isAccepted();
    }

    /** Applies the organisation in force to the call and to what it takes from a limit. */
    private void apply(final CallerPermit renewed, final LocalRuns runs) {
        final CallHead previous = mHead;
        mHead = renewed.applyTo(previous, mRoute, runs, mEnvironment.headerNames());
        if (mKeepsPriority || previous.nested() && mHead.nested()) {
            mHead = mHead.withPriority(previous.priority());
        }
        final boolean isSameOrganisation =
                mHead.organisation().equals(previous.organisation())
                        && mHead.nested() == previous.nested();
        if (!isSameOrganisation) {
            mQuota.release();
            mQuota = mEnvironment.quota(mHead);
        }
    }
}
