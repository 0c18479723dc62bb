package io.bilberrylane.http;

import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.LocalRuns;
import io.netty.util.concurrent.EventExecutor;

/** Routes a caller's request to a target. */
@FunctionalInterface
public interface CallRouter {
    /**
     * Routes a call.
     *
     * @param route the matching route of the catalogue
     * @param head the head of the call; its call ID is replaced for each attempt
     * @param executor the executor that runs every event of the sink
     * @param sink the receiver of the response
     * @return the receiver of the request body, used once the call is admitted
     */
    BodySink route(Route route, CallHead head, EventExecutor executor, ResponseSink sink);

    /**
     * Routes a call whose caller is identified again when the configuration changes before the call
     * runs. By default, the caller is not identified again.
     *
     * @param permit who makes the call, and how that was decided
     * @param route the matching route of the catalogue
     * @param head the head of the call; its call ID is replaced for each attempt
     * @param executor the executor that runs every event of the sink
     * @param sink the receiver of the response
     * @return the receiver of the request body, used once the call is admitted
     */
    default BodySink route(
            final CallerPermit permit,
            final Route route,
            final CallHead head,
            final EventExecutor executor,
            final ResponseSink sink) {
        return route(route, head, executor, sink);
    }

    /**
     * Returns what the target beside the node runs.
     *
     * @return the requests on whose behalf the target may make calls; by default none
     */
    default LocalRuns localRuns() {
        return LocalRuns.NONE;
    }
}
