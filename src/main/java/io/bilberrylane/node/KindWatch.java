package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.ObjectEvent;
import io.bilberrylane.platform.ObjectEvents;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.platform.WatchListener;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Lists the objects of one kind, then watches them from the version of the list. Lists them again
 * only if the platform no longer has the history since the last version. All state is confined to
 * one event loop.
 */
final class KindWatch {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long WATCH_WAIT_MILLIS = 28_000;

    /** The interval of the cheap stale reads that check whether the platform still responds. */
    private static final long CHECK_INTERVAL_MILLIS = 2_500;

    private static final int MIN_BACKOFF_MILLIS = 250;
    private static final int MAX_BACKOFF_MILLIS = 2_000;

    /** Whether the kind is read from the platform. */
    enum Mode {
        /** Nothing is read. */
        OFF,
        /** The objects are read until the listener has what it needs; no watch follows then. */
        UNTIL_KNOWN,
        /** The objects are listed and then watched. */
        WATCH
    }

    /** Receives the objects and their changes, in order. */
    interface Listener {
        void onList(long version, List<StoredObject> objects);

        void onEvents(long version, List<ObjectEvent> events);

        /** Returns whether this listener has received what it needs. */
        boolean isKnown();

        /** Returns whether a list differs from what this listener has received. */
        boolean differs(List<StoredObject> objects);
    }

    private final EventLoop mLoop;
    private final ObjectStore mStore;
    private final ObjectStore mLists;
    private final String mKind;
    private final Listener mListener;
    private final Random mRandom = new Random();
    private Mode mMode = Mode.OFF;
    private boolean mInProgress;
    private long mVersion = -1;
    private int mConsecutiveFailures;
    private boolean mCheckFailed;
    private int mCheckSequence;

    /** Increases with each list and watch, so that an earlier one has no effect any more. */
    private int mGeneration;

    private AutoCloseable mWatch;

    /**
     * Creates a watch that reads nothing yet.
     *
     * @param transport supplies the event loop
     * @param store the platform for watches and checks
     * @param lists the platform for lists, which may make them wait during an outage
     * @param kind the kind of the objects
     * @param listener receives the objects
     */
    KindWatch(
            final Transport transport,
            final ObjectStore store,
            final ObjectStore lists,
            final String kind,
            final Listener listener) {
        mLoop = transport.group().next();
        mStore = store;
        mLists = lists;
        mKind = kind;
        mListener = listener;
    }

    /** Starts or stops reading. Reading starts with a list. */
    void setMode(final Mode mode) {
        mLoop.execute(
                () -> {
                    final Mode previous = mMode;
                    mMode = mode;
                    if (previous == Mode.OFF) {
                        // What was read before may be older than the history of the platform.
                        mVersion = -1;
                    }
                    if (mode == Mode.OFF && previous != Mode.OFF) {
                        endReading();
                    } else if (mode != previous) {
                        listOrWatch();
                    }
                    if (previous == Mode.OFF && mode != Mode.OFF) {
                        scheduleCheck();
                    }
                });
    }

    void stop() {
        setMode(Mode.OFF);
    }

    // -- checks

    /**
     * Schedules the check that detects a watch that no longer delivers events. The watch is
     * restarted after an outage of the platform, or if a stale read shows a change that the watch
     * has not delivered.
     */
    private void scheduleCheck() {
        final int sequence = ++mCheckSequence;
        mLoop.schedule(() -> check(sequence), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(final int sequence) {
        if (mMode == Mode.OFF || sequence != mCheckSequence) {
            return;
        }
        mStore.listStale(mKind)
                .whenComplete((list, failure) -> mLoop.execute(() -> onCheckResult(list, failure)));
        scheduleCheck();
    }

    private void onCheckResult(final ObjectList list, final Throwable failure) {
        if (failure != null) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "check of %s failed, the platform does not respond: %s",
                    mKind, failure.getMessage());
            mCheckFailed = true;
            return;
        }
        final boolean isBehind = list.version() > mVersion && mListener.differs(list.items());
        if (mWatch != null && (mCheckFailed || isBehind)) {
            LOGGER.atInfo().log("watch of %s is being restarted", mKind);
            endReading();
            listOrWatch();
        }
        mCheckFailed = false;
    }

    // -- listing and watching

    private void listOrWatch() {
        final boolean nothingToRead =
                mMode == Mode.OFF || mMode == Mode.UNTIL_KNOWN && mListener.isKnown();
        if (nothingToRead || mInProgress) {
            return;
        }
        mInProgress = true;
        if (mVersion < 0) {
            list();
        } else {
            watch();
        }
    }

    private void list() {
        final int generation = ++mGeneration;
        mLists.list(mKind)
                .whenComplete(
                        (list, failure) -> mLoop.execute(() -> onList(generation, list, failure)));
    }

    private void onList(final int generation, final ObjectList list, final Throwable failure) {
        if (generation != mGeneration) {
            return;
        }
        mInProgress = false;
        if (failure != null) {
            LOGGER.atWarning().log("list of %s failed: %s", mKind, failure.getMessage());
            // The next list waits for the platform if it does not answer.
            retryWithin(MIN_BACKOFF_MILLIS);
            return;
        }
        mConsecutiveFailures = 0;
        mVersion = list.version();
        mListener.onList(list.version(), list.items());
        listOrWatch();
    }

    private void watch() {
        final int generation = ++mGeneration;
        mWatch =
                mStore.watch(
                        mKind,
                        mVersion,
                        WATCH_WAIT_MILLIS,
                        new WatchListener() {
                            @Override
                            public void onEvents(final ObjectEvents events) {
                                mLoop.execute(() -> KindWatch.this.onEvents(generation, events));
                            }

                            @Override
                            public void onEnded(final RuntimeException cause) {
                                mLoop.execute(() -> KindWatch.this.onEnded(generation, cause));
                            }
                        });
    }

    private void onEvents(final int generation, final ObjectEvents events) {
        if (generation != mGeneration || mMode == Mode.OFF) {
            return;
        }
        mConsecutiveFailures = 0;
        mVersion = Math.max(mVersion, events.version());
        mListener.onEvents(events.version(), events.events());
    }

    private void onEnded(final int generation, final RuntimeException cause) {
        if (generation != mGeneration) {
            return;
        }
        mInProgress = false;
        mWatch = null;
        LOGGER.atWarning().log("watch of %s ended: %s", mKind, cause.getMessage());
        if (hasCode(cause, ErrorCode.PLATFORM_GONE)) {
            mVersion = -1;
            listOrWatch();
            return;
        }
        if (hasCode(cause, ErrorCode.PLATFORM_UNREADABLE)) {
            // The same events would come again; the pages of a list are shorter.
            mVersion = -1;
        }
        scheduleRetry();
    }

    private static boolean hasCode(final RuntimeException cause, final ErrorCode code) {
        return cause instanceof BilberrylaneException failure && failure.code() == code;
    }

    private void scheduleRetry() {
        final int backoffMillis =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        MIN_BACKOFF_MILLIS << Math.min(3, mConsecutiveFailures++));
        retryWithin(backoffMillis);
    }

    private void retryWithin(final int backoffMillis) {
        final long delayMillis = MIN_BACKOFF_MILLIS / 2 + mRandom.nextInt(backoffMillis);
        mLoop.schedule(this::listOrWatch, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void endReading() {
        mGeneration++;
        mInProgress = false;
        if (mWatch != null) {
            try {
                mWatch.close();
            } catch (Exception e) {
                LOGGER.atWarning().withCause(e).log("watch of %s failed to close", mKind);
            }
            mWatch = null;
        }
    }
}
