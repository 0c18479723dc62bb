package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.policy.CallPlan;

/** Collects the steps of one call at the ingress for the log line written when the call ends. */
final class CallTrail {
    private static final int MAX_CHARS = 400;

    private final StringBuilder mSteps = new StringBuilder();

    /** Appends a step; ignored once the trail has reached {@code MAX_CHARS} characters. */
    void add(final String step, final long elapsedMillis) {
        if (mSteps.length() < MAX_CHARS) {
            mSteps.append(mSteps.isEmpty() ? "" : " ")
                    .append(step)
                    .append('@')
                    .append(elapsedMillis);
        }
    }

    /** Writes the log line of a finished call; the status is 0 if no response was passed on. */
    void write(
            final CallHead head,
            final Route route,
            final CallPlan plan,
            final String outcome,
            final int status,
            final long elapsedMillis) {
        DecisionLog.event("call-ended")
                .with("request", head.requestId())
                .with("service", head.service())
                .with("route", route.host() + route.pathPrefix())
                .with("uri", head.uri())
                .with("organisation", head.organisation())
                .with("nested", head.nested())
                .with("priority", head.priority())
                .with("outcome", outcome)
                .with("status", status)
                .with("elapsedMillis", elapsedMillis)
                .with("timeoutMillis", head.timeoutMillis())
                .with("offers", plan.offers())
                .with("runs", plan.runs())
                .with("trail", mSteps.toString())
                .write();
    }
}
