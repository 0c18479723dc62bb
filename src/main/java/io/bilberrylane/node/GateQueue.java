package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.TargetParameters;
import io.bilberrylane.net.Transport;
import io.bilberrylane.policy.AdmissionDecision;
import io.bilberrylane.policy.AdmissionRequest;
import io.bilberrylane.policy.GateAdmission;
import io.bilberrylane.policy.QueueUpdate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The calls that wait at the gate for a slot of the target. It tells each call when it has left the
 * queue.
 */
final class GateQueue {
    private static final long MIN_RECHECK_NANOS = 2_000_000L;

    private final Transport mTransport;
    private final RankedLock mLock;
    private final Function<String, TargetParameters> mParameters;
    private final Map<String, GateCall> mQueuedCalls = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param lock the lock of the admission state of targets
     * @param parameters returns the parameters of the targets of a service
     */
    GateQueue(
            final Transport transport,
            final RankedLock lock,
            final Function<String, TargetParameters> parameters) {
        mTransport = transport;
        mLock = lock;
        mParameters = parameters;
    }

    /** Returns the number of calls that wait. */
    int size() {
        return mLock.get(mQueuedCalls::size);
    }

    /**
     * Offers a call to the admission of a target, and keeps the call if it is queued.
     *
     * @param parameters the parameters of the targets of the service
     * @param decide decides on the call; it runs with the lock
     */
    AdmissionDecision offer(
            final GateCall call,
            final GateTarget target,
            final TargetParameters parameters,
            final Supplier<AdmissionDecision> decide) {
        final AtomicReference<GateCall> preempted = new AtomicReference<>();
        final AdmissionDecision decision =
                mLock.get(
                        () -> {
                            final AdmissionDecision result = decide.get();
                            if (result instanceof AdmissionDecision.Queued queued) {
                                mQueuedCalls.put(call.head().callId(), call);
                                queued.preempted()
                                        .map(this::removeFromQueue)
                                        .ifPresent(preempted::set);
                            }
                            return result;
                        });
        if (preempted.get() != null) {
            preempted.get().refuse(ErrorCode.OVERLOADED);
        }
        if (decision instanceof AdmissionDecision.Queued) {
            scheduleRecheck(target, parameters);
        }
        return decision;
    }

    /** Releases the slot of a call, or removes the call from the queue. */
    void release(
            final GateCall call,
            final GateTarget target,
            final boolean healthy,
            final long serviceNanos) {
        apply(
                target,
                admission ->
                        admission.release(
                                call.head().callId(), healthy, serviceNanos, System.nanoTime()),
                call);
    }

    /** Stops the admission of calls to a target and refuses those that wait for it. */
    void refuseWaiting(final GateTarget target) {
        final List<GateCall> refused =
                mLock.get(
                        () ->
                                target.admission().stop().stream()
                                        .map(this::removeFromQueue)
                                        .toList());
        refused.forEach(call -> call.refuse(ErrorCode.LEAVING));
    }

    /**
     * Probes the target's speed if queued calls wait for nothing else; otherwise schedules the next
     * check of the queue.
     */
    private void scheduleRecheck(final GateTarget target, final TargetParameters parameters) {
        final long now = System.nanoTime();
        final boolean needsProbe = mLock.get(() -> target.admission().needsSpeedProbe(now));
        if (needsProbe) {
            target.prober().probe(parameters.probePath(), () -> updateQueue(target));
            return;
        }
        final long delayNanos = mLock.get(() -> target.admission().nextRecheckNanos(now));
        if (delayNanos != Long.MAX_VALUE) {
            mTransport
                    .currentOrAnyLoop()
                    .schedule(
                            () -> updateQueue(target),
                            Math.max(MIN_RECHECK_NANOS, delayNanos),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void updateQueue(final GateTarget target) {
        apply(target, admission -> admission.updateQueue(System.nanoTime()), null);
        scheduleRecheck(target, mParameters.apply(target.announcement().service()));
    }

    private void apply(
            final GateTarget target,
            final Function<GateAdmission, QueueUpdate> change,
            final GateCall released) {
        final Map<GateCall, Boolean> admittedByCall = new HashMap<>();
        mLock.run(
                () -> {
                    if (released != null) {
                        mQueuedCalls.remove(released.head().callId());
                    }
                    final QueueUpdate update = change.apply(target.admission());
                    update.admitted()
                            .forEach(request -> admittedByCall.put(removeFromQueue(request), true));
                    update.expired()
                            .forEach(
                                    request -> admittedByCall.put(removeFromQueue(request), false));
                });
        admittedByCall.forEach(
                (call, admitted) -> {
                    if (admitted) {
                        call.onSlotGranted();
                    } else {
                        call.refuse(ErrorCode.QUEUE_TIMEOUT);
                    }
                });
    }

    private GateCall removeFromQueue(final AdmissionRequest request) {
        return mQueuedCalls.remove(request.callId());
    }
}
