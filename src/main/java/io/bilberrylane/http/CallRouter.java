package io.bilberrylane.http;

import io.bilberrylane.catalogue.Route;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.ResponseSink;
import io.netty.util.concurrent.EventExecutor;

/** Brings a caller's request to a target. */
@FunctionalInterface
public interface CallRouter {
    /**
     * Routes a call.
     *
     * @param route the catalogue's route
     * @param head the call; its identity is replaced for each attempt
     * @param executor runs every event of the sink
     * @param sink receives the answer
     * @return takes the body once the call is admitted
     */
    BodySink route(Route route, CallHead head, EventExecutor executor, ResponseSink sink);
}
