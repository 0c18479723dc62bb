package io.bilberrylane.node;

import io.bilberrylane.catalogue.Route;
import io.bilberrylane.policy.CallPlan;
import java.util.HashSet;
import java.util.Set;

/**
 * The retries of one call: a run at a further target needs a grant from the retry budget of the
 * service. Confined to the event loop of the call.
 */
final class CallRetries {
    private final CallEnvironment mEnvironment;
    private final Route mRoute;
    private final String mService;
    private final CallPlan mPlan;
    private boolean mGranted;

    CallRetries(
            final CallEnvironment environment,
            final Route route,
            final String service,
            final CallPlan plan) {
        mEnvironment = environment;
        mRoute = route;
        mService = service;
        mPlan = plan;
    }

    /** Returns whether the call may be offered to a gate; if it has run, this needs a grant. */
    boolean mayOffer() {
        if (mPlan.runs() > 0 && !mGranted && !mEnvironment.tryAcquireRetry(mService)) {
            return false;
        }
        mGranted = mPlan.runs() > 0;
        return true;
    }

    /**
     * Acquires a grant for a run at a target other than that of the given host, if the route's
     * attempts, the available targets and the budget allow it.
     */
    boolean tryAcquire(final String host) {
        final Set<String> excluded = new HashSet<>(mPlan.excludedHosts());
        excluded.add(host);
        return mPlan.runs() + 1 < mRoute.attempts()
                && mEnvironment.hasOtherTarget(mRoute, mService, excluded)
                && mEnvironment.tryAcquireRetry(mService);
    }

    /** Keeps an acquired grant for the next offer. */
    void keepGrant() {
        mGranted = true;
    }

    /** Records that a target has received the call: the next target needs a new grant. */
    void endGrant() {
        mGranted = false;
    }
}
