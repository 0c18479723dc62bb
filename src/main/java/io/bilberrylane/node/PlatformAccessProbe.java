package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.PlatformErrors;
import io.bilberrylane.policy.PlatformAccess;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Probes with cheap stale reads whether the platform answers this node: while the node is needed as
 * a watcher, and while the platform does not answer. All state is confined to one event loop.
 */
final class PlatformAccessProbe {
    /** A read that takes longer is a sign that the platform does not answer this node. */
    private static final long TIMEOUT_MILLIS = 500;

    private final EventLoop mLoop;
    private final ObjectStore mStore;
    private final String mKind;
    private final Consumer<Boolean> mListener;
    private final PlatformAccess mAccess = PlatformAccess.untried();
    private boolean mNeeded;
    private boolean mRunning;
    private boolean mStopped;

    /** Increases with each probe and with each result, so that a late reply counts for nothing. */
    private int mSequence;

    /**
     * Creates a probe that is not needed yet.
     *
     * @param loop the event loop of the probe
     * @param store the platform
     * @param kind the kind of the objects that are read
     * @param listener receives whether the platform answers this node, whenever that changes, on
     *     the event loop
     */
    PlatformAccessProbe(
            final EventLoop loop,
            final ObjectStore store,
            final String kind,
            final Consumer<Boolean> listener) {
        mLoop = loop;
        mStore = store;
        mKind = kind;
        mListener = listener;
    }

    /** Sets whether this node is needed as a watcher. */
    void setNeeded(final boolean needed) {
        mLoop.execute(
                () -> {
                    mNeeded = needed;
                    if (needed && !mRunning && !mStopped) {
                        mRunning = true;
                        send();
                    }
                });
    }

    void stop() {
        mLoop.execute(() -> mStopped = true);
    }

    private void send() {
        if (mStopped) {
            return;
        }
        final int sequence = ++mSequence;
        final CompletableFuture<ObjectList> reply = mStore.listStale(mKind);
        reply.whenComplete((list, failure) -> mLoop.execute(() -> onReply(sequence, failure)));
        mLoop.schedule(() -> onTimeout(sequence), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onReply(final int sequence, final Throwable failure) {
        if (sequence != mSequence) {
            return;
        }
        if (failure != null && PlatformErrors.isOutage(failure)) {
            end(mAccess::recordFailure, "failure");
        } else {
            end(mAccess::recordAnswer, "answer");
        }
    }

    private void onTimeout(final int sequence) {
        if (sequence == mSequence) {
            end(mAccess::recordSilence, "silence");
        }
    }

    private void end(final Runnable record, final String result) {
        mSequence++;
        final boolean wasReadable = mAccess.isReadable();
        record.run();
        final boolean isReadable = mAccess.isReadable();
        if (isReadable != wasReadable && !mStopped) {
            DecisionLog.event("platform-access")
                    .with("readable", isReadable)
                    .with("probe", result)
                    .write();
            mListener.accept(isReadable);
        }
        mRunning = mNeeded || !isReadable;
        if (mRunning) {
            mLoop.schedule(this::send, mAccess.probeDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
