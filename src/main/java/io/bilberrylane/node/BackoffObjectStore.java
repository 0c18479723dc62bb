package io.bilberrylane.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.PlatformErrors;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.platform.WatchListener;
import io.bilberrylane.policy.OutageBackoff;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A platform whose reads wait while it does not answer, except for one probe at a time; see {@link
 * OutageBackoff}. Equal reads that wait share one call. Writes and watches are passed on at once.
 * All state is confined to one event loop.
 */
final class BackoffObjectStore implements ObjectStore {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final EventLoop mLoop;
    private final ObjectStore mStore;
    private final OutageBackoff mBackoff;
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private final Map<String, CompletableFuture<StoredObject>> mWaitingObjects = new HashMap<>();
    private final Map<String, CompletableFuture<ObjectList>> mWaitingLists = new HashMap<>();
    private boolean mProbePending;
    private boolean mProbeDue;

    BackoffObjectStore(final EventLoop loop, final ObjectStore store, final OutageBackoff backoff) {
        mLoop = loop;
        mStore = store;
        mBackoff = backoff;
    }

    // -- reads

    @Override
    public CompletableFuture<StoredObject> get(final String kind, final String name) {
        return read(
                mWaitingObjects,
                kind + "/" + name,
                () -> mStore.get(kind, name),
                mWaiting::addLast);
    }

    @Override
    public CompletableFuture<ObjectList> list(final String kind) {
        return read(mWaitingLists, kind, () -> mStore.list(kind), mWaiting::addLast);
    }

    @Override
    public CompletableFuture<ObjectList> listStale(final String kind) {
        return read(
                mWaitingLists, kind + "/stale", () -> mStore.listStale(kind), mWaiting::addFirst);
    }

    private <T> CompletableFuture<T> read(
            final Map<String, CompletableFuture<T>> waiting,
            final String key,
            final Supplier<CompletableFuture<T>> call,
            final Consumer<Runnable> queue) {
        final CompletableFuture<T> result = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    if (mBackoff.isOutage() && !takeDueProbe()) {
                        complete(await(waiting, key, call, queue), result);
                    } else {
                        send(call, result);
                    }
                });
        return result;
    }

    private <T> CompletableFuture<T> await(
            final Map<String, CompletableFuture<T>> waiting,
            final String key,
            final Supplier<CompletableFuture<T>> call,
            final Consumer<Runnable> queue) {
        return waiting.computeIfAbsent(
                key,
                unused -> {
                    final CompletableFuture<T> result = new CompletableFuture<>();
                    queue.accept(
                            () -> {
                                waiting.remove(key);
                                send(call, result);
                            });
                    return result;
                });
    }

    private <T> void send(
            final Supplier<CompletableFuture<T>> call, final CompletableFuture<T> result) {
        start(call)
                .whenComplete(
                        (value, failure) ->
                                mLoop.execute(
                                        () -> {
                                            onAnswer(failure);
                                            complete(value, failure, result);
                                        }));
    }

    /** Starts a call; one that cannot be started has failed, so that its task tries again. */
    private static <T> CompletableFuture<T> start(final Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> void complete(
            final CompletableFuture<T> source, final CompletableFuture<T> result) {
        source.whenComplete((value, failure) -> complete(value, failure, result));
    }

    private static <T> void complete(
            final T value, final Throwable failure, final CompletableFuture<T> result) {
        if (failure == null) {
            result.complete(value);
        } else {
            result.completeExceptionally(
                    failure instanceof CompletionException ? failure.getCause() : failure);
        }
    }

    // -- outages

    private void onAnswer(final Throwable failure) {
        if (failure != null && PlatformErrors.isOutage(failure)) {
            scheduleProbe();
            return;
        }
        final boolean wasOutage = mBackoff.isOutage();
        mBackoff.recordAnswer();
        mProbeDue = false;
        if (wasOutage) {
            LOGGER.atInfo().log("platform answers again; %d reads waited", mWaiting.size());
            sendWaiting();
        }
    }

    private void scheduleProbe() {
        if (mProbePending) {
            return;
        }
        mProbePending = true;
        final long delayMillis = mBackoff.recordFailure();
        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                "platform does not answer; reads wait, next probe in %d ms", delayMillis);
        mLoop.schedule(
                GuardedTask.of("probe of the platform", this::probe),
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a stale read, which costs the platform least, or else the read that has waited longest;
     * without one, the next read is the probe.
     */
    private void probe() {
        mProbePending = false;
        final Runnable next = mWaiting.pollFirst();
        if (next == null) {
            mProbeDue = true;
        } else {
            next.run();
        }
    }

    /** Returns whether a read that arrives now is the probe. */
    private boolean takeDueProbe() {
        final boolean isDue = mProbeDue;
        mProbeDue = false;
        return isDue;
    }

    private void sendWaiting() {
        while (!mWaiting.isEmpty()) {
            mWaiting.pollFirst().run();
        }
    }

    // -- writes and watches

    @Override
    public CompletableFuture<StoredObject> create(
            final String kind, final String name, final JsonNode spec) {
        return mStore.create(kind, name, spec);
    }

    @Override
    public CompletableFuture<StoredObject> update(
            final String kind, final String name, final long version, final JsonNode spec) {
        return mStore.update(kind, name, version, spec);
    }

    @Override
    public CompletableFuture<StoredObject> updateStatus(
            final String kind, final String name, final long version, final JsonNode status) {
        return mStore.updateStatus(kind, name, version, status);
    }

    @Override
    public CompletableFuture<Void> delete(
            final String kind, final String name, final long version) {
        return mStore.delete(kind, name, version);
    }

    @Override
    public AutoCloseable watch(
            final String kind,
            final long version,
            final long waitMillis,
            final WatchListener listener) {
        return mStore.watch(kind, version, waitMillis, listener);
    }
}
