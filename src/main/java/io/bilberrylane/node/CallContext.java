package io.bilberrylane.node;

import io.bilberrylane.catalogue.Route;
import io.bilberrylane.policy.CallPlan;
import io.netty.util.concurrent.EventExecutor;

/**
 * What the parts of one call at the ingress share.
 *
 * @param environment selects targets and opens calls at their gates
 * @param route the route of the call
 * @param executor the event loop of the call
 * @param identity who makes the call
 * @param plan the offers of the call to gates
 */
record CallContext(
        CallEnvironment environment,
        Route route,
        EventExecutor executor,
        CallIdentity identity,
        CallPlan plan) {}
