package io.bilberrylane.node;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.policy.LocalRuns;
import io.bilberrylane.policy.SelectionCriteria;
import io.bilberrylane.policy.TargetLoad;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

/** What the calls at one ingress need of their node. Its methods do not block. */
interface CallEnvironment {
    /** Returns the time of a steady clock, in nanoseconds. */
    long nanoTime();

    // -- configuration

    Catalogue catalogue();

    HeaderNames headerNames();

    /** Returns what the target of this node runs. */
    LocalRuns localRuns();

    /** Returns what a call takes from the limit of its organisation. */
    CallQuota quota(CallHead head);

    // -- selection of gates

    /**
     * Chooses the gate for an offer of a call; empty if there is none.
     *
     * @param excluded the hosts that must not get the call
     * @param isFirstOffer whether the call was not offered to any gate yet
     */
    Optional<TargetRef> choose(
            Route route,
            String service,
            Collection<String> excluded,
            boolean isFirstOffer,
            SelectionCriteria criteria);

    /**
     * Returns the gate of a host that holds an idempotency key, whether or not the gate admits
     * calls; empty if the host is unknown or dead.
     */
    Optional<TargetRef> keyHolder(String host);

    /**
     * Returns whether a service has an accepting target outside the excluded hosts that the route
     * allows.
     */
    boolean hasOtherTarget(Route route, String service, Collection<String> excluded);

    boolean isRemote(TargetRef target);

    /** Returns the opener of calls at a gate. */
    CallOpener opener(TargetRef target);

    /** Returns the identity of the next attempt of a call. */
    String nextCallId();

    // -- calls in progress

    void callStarted(RoutedCall call, String service);

    void callEnded(RoutedCall call, int offers);

    /** Takes a retry from the budget of a service; returns false if the budget is exhausted. */
    boolean tryAcquireRetry(String service);

    // -- load feedback

    /**
     * Returns the mean service time of a route at the targets of a service, in milliseconds; 0 if
     * unknown.
     */
    long meanServiceMillis(Route route, String service);

    /** Returns after which time without a reply a gate counts as silent, in milliseconds. */
    long silenceTimeoutMillis();

    /** Records how long a gate took to reply to an offer that could not queue. */
    void recordReply(long elapsedMillis);

    /** Records that a gate has not replied in time. */
    void recordSilence();

    void recordLoad(TargetRef target, String service, int route, TargetLoad load);

    /** Marks a gate that did not respond, so that it gets no calls for a short time. */
    default void markSilent(final TargetRef target, final String service, final int route) {
        recordLoad(target, service, route, TargetLoad.ABSENT);
    }

    /** Records that an attempt at a target has ended. */
    void recordCompletion(TargetRef target);

    // -- unknown outcomes

    /**
     * Queries the outcome of a call from its gate. A call that has not started yet never starts
     * there afterwards.
     *
     * @param gateIncarnation the incarnation of the gate's process that received the call
     * @param consumer receives the phase of the call; empty if the gate does not reply
     */
    void resolveOutcome(
            TargetRef target,
            String callId,
            long gateIncarnation,
            Consumer<Optional<CallPhase>> consumer);
}
