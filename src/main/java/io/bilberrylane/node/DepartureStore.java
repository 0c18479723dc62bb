package io.bilberrylane.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.membership.Departure;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps the departures of the targets on this host in one object of the platform, so that they
 * outlive the process. All state is confined to one event loop, except where noted.
 */
final class DepartureStore {
    /** The kind of the objects, one for each host. */
    static final String KIND = "departures";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int RETRY_MILLIS = 1_000;
    private static final int MAX_LOGGED_CHARS = 200;

    /**
     * An acknowledgement waits no longer for the platform: a target without one would keep trying,
     * and its calls are refused already.
     */
    private static final long MAX_WAIT_MILLIS = 400;

    private final EventLoop mLoop;
    private final String mHost;
    private final ObjectStore mStore;
    private final Supplier<List<Departure>> mCurrent;
    private final Consumer<List<Departure>> mOnLoaded;
    private final Random mRandom;
    private final List<CompletableFuture<Void>> mWaiting = new ArrayList<>();

    /** Written on the event loop, read by any thread. */
    private volatile List<Departure> mSaved = List.of();

    private boolean mBusy;
    private boolean mLoaded;
    private long mVersion;
    private boolean mStopped;

    /**
     * Creates a store. Nothing is read or written before {@link #start}.
     *
     * @param loop the event loop that owns the state
     * @param host the name of this host
     * @param store the platform's object API
     * @param current supplies the departures to keep, the oldest first
     * @param onLoaded receives the departures that were kept before
     */
    DepartureStore(
            final EventLoop loop,
            final String host,
            final ObjectStore store,
            final Supplier<List<Departure>> current,
            final Consumer<List<Departure>> onLoaded) {
        mLoop = loop;
        mHost = host;
        mStore = store;
        mCurrent = current;
        mOnLoaded = onLoaded;
        mRandom = new Random(host.hashCode());
    }

    /** Reads what an earlier process has kept, until the platform answers. */
    void start() {
        mLoop.execute(this::advance);
    }

    void stop() {
        mLoop.execute(() -> mStopped = true);
    }

    /**
     * Keeps the current departures. May be called by any thread.
     *
     * @return completes when they are kept, and at the latest after {@value #MAX_WAIT_MILLIS} ms
     */
    CompletionStage<Void> save() {
        final CompletableFuture<Void> saved = new CompletableFuture<>();
        if (isSaved()) {
            saved.complete(null);
            return saved;
        }
        mLoop.execute(
                () -> {
                    mWaiting.add(saved);
                    mLoop.schedule(
                            () -> stopWaiting(saved), MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
                    advance();
                });
        return saved;
    }

    /**
     * Returns whether the platform has all current departures. May be called by any thread.
     *
     * @return false while a write has not succeeded yet
     */
    boolean isSaved() {
        return mSaved.equals(mCurrent.get());
    }

    private void stopWaiting(final CompletableFuture<Void> saved) {
        if (saved.complete(null)) {
            mWaiting.remove(saved);
            LOGGER.atWarning().log(
                    "departure acknowledged before the platform has it: no answer in %d ms",
                    MAX_WAIT_MILLIS);
        }
    }

    // -- reads and writes, one at a time

    private void advance() {
        if (mBusy || mStopped) {
            return;
        }
        if (!mLoaded) {
            load();
        } else if (!isSaved()) {
            write(mCurrent.get());
        } else {
            mWaiting.forEach(saved -> saved.complete(null));
            mWaiting.clear();
        }
    }

    private void load() {
        mBusy = true;
        mStore.get(KIND, mHost)
                .whenComplete((object, failure) -> onLoop(() -> onRead(object, failure)));
    }

    private void onRead(final StoredObject object, final Throwable failure) {
        if (failure != null && codeOf(failure) != ErrorCode.PLATFORM_NOT_FOUND) {
            retryLater(failure);
            return;
        }
        mLoaded = true;
        mVersion = failure == null ? object.version() : 0;
        mSaved = failure == null ? read(object) : List.of();
        if (!mSaved.isEmpty()) {
            mOnLoaded.accept(mSaved);
        }
        advance();
    }

    private void write(final List<Departure> departures) {
        mBusy = true;
        final JsonNode spec = write(departures, MAPPER.createObjectNode());
        final CompletableFuture<StoredObject> written =
                mVersion == 0
                        ? mStore.create(KIND, mHost, spec)
                        : mStore.update(KIND, mHost, mVersion, spec);
        written.whenComplete(
                (object, failure) -> onLoop(() -> onWritten(departures, object, failure)));
    }

    private void onWritten(
            final List<Departure> departures, final StoredObject object, final Throwable failure) {
        if (failure == null) {
            mVersion = object.version();
            mSaved = departures;
            advance();
            return;
        }
        mLoaded = false;
        switch (codeOf(failure)) {
            case PLATFORM_CONFLICT, PLATFORM_NOT_FOUND -> advance();
            default -> retryLater(failure);
        }
    }

    private void retryLater(final Throwable failure) {
        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                "departures of host %s not read or written: %s", mHost, failure.getMessage());
        mBusy = true;
        mLoop.schedule(
                () -> onLoop(this::advance),
                RETRY_MILLIS / 2 + mRandom.nextInt(RETRY_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void onLoop(final Runnable action) {
        mLoop.execute(
                GuardedTask.of(
                        "departures",
                        () -> {
                            mBusy = false;
                            action.run();
                        }));
    }

    private static ErrorCode codeOf(final Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof BilberrylaneException exception
                ? exception.code()
                : ErrorCode.PLATFORM_UNAVAILABLE;
    }

    // -- format

    /** Returns the departures of an object. Elements that are no departures are left out. */
    private static List<Departure> read(final StoredObject object) {
        final List<Departure> departures = new ArrayList<>();
        for (final JsonNode node : object.spec().path("targets")) {
            if (node.path("id").isTextual() && node.path("incarnation").canConvertToLong()) {
                departures.add(
                        new Departure(
                                node.path("id").asText(),
                                node.path("incarnation").asLong(),
                                node.path("firstSequence").asLong(Departure.NONE)));
            } else {
                LOGGER.atWarning().log(
                        "departures of host %s have an element that was ignored: '%s'",
                        object.name(), Ascii.truncate(node.toString(), MAX_LOGGED_CHARS, "..."));
            }
        }
        return List.copyOf(departures);
    }

    private static JsonNode write(final List<Departure> departures, final ObjectNode root) {
        final ArrayNode targets = root.putArray("targets");
        for (final Departure departure : departures) {
            final ObjectNode node =
                    targets.addObject()
                            .put("id", departure.id())
                            .put("incarnation", departure.incarnation());
            if (departure.isDraining()) {
                node.put("firstSequence", departure.firstSequence());
            }
        }
        return root;
    }
}
