package io.bilberrylane.node;

import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.CallPlan;
import io.bilberrylane.policy.Placement;
import io.bilberrylane.policy.SelectionCriteria;
import java.util.Optional;

/** Chooses the gate for the next offer of one call, in the rounds of the call's plan. */
final class GateChooser {
    /** A larger body leaves the data centre only if no target there starts the call soon. */
    private static final long LARGE_BODY_BYTES = 16 * 1024;

    private final CallEnvironment mEnvironment;
    private final Route mRoute;
    private final String mService;
    private final CallPlan mPlan;
    private final SelectionCriteria mCriteria;

    GateChooser(
            final CallEnvironment environment,
            final Route route,
            final CallHead head,
            final CallPlan plan,
            final Placement placement) {
        mEnvironment = environment;
        mRoute = route;
        mService = head.service();
        mPlan = plan;
        mCriteria =
                new SelectionCriteria(
                        route.id(),
                        head.objectiveMillis() * 1_000.0,
                        hasLargeBody(route, head),
                        true,
                        placement);
    }

    private static boolean hasLargeBody(final Route route, final CallHead head) {
        return route.largeResponses()
                || head.bodyBytes() < 0
                || head.bodyBytes() > LARGE_BODY_BYTES;
    }

    /**
     * Returns the gate for the next offer; empty if no gate is left.
     *
     * @param elapsedMillis time since the call arrived, in milliseconds
     */
    Optional<TargetRef> choose(final long elapsedMillis) {
        if (!mPlan.canOffer()) {
            return Optional.empty();
        }
        final Optional<TargetRef> target =
                mPlan.isRoundOver() ? Optional.empty() : chooseInRound(elapsedMillis);
        return target.isPresent() || !mPlan.nextRound() ? target : chooseInRound(elapsedMillis);
    }

    private Optional<TargetRef> chooseInRound(final long elapsedMillis) {
        return mEnvironment.choose(
                mRoute,
                mService,
                mPlan.excludedHosts(),
                mPlan.offers() == 0,
                currentCriteria(elapsedMillis));
    }

    private SelectionCriteria currentCriteria(final long elapsedMillis) {
        if (!mPlan.canOfferRemote()) {
            return mCriteria.withoutRemote();
        }
        return mPlan.hasLocalWaitElapsed(elapsedMillis) ? mCriteria.withoutLocalOnly() : mCriteria;
    }
}
