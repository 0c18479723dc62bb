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
 * Lists one kind of objects and watches it from there; lists again only when the platform no longer
 * holds the changes since. All state belongs to one event loop.
 */
final class KindWatch {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long WAIT_MILLIS = 28_000;

    /** How often a cheap read shows whether the platform still answers. */
    private static final long CHECK_MILLIS = 2_500;

    private static final int MIN_PAUSE_MILLIS = 250;
    private static final int MAX_PAUSE_MILLIS = 2_000;

    /** Takes the objects and their changes, in order. */
    interface Taker {
        void onList(long version, List<StoredObject> objects);

        void onEvents(long version, List<ObjectEvent> events);

        /** Returns whether a list shows anything else than what was taken. */
        boolean differs(List<StoredObject> objects);
    }

    private final EventLoop mLoop;
    private final ObjectStore mStore;
    private final String mKind;
    private final Taker mTaker;
    private final Random mRandom = new Random();
    private boolean mWanted;
    private boolean mBusy;
    private long mVersion = -1;
    private int mFailures;
    private boolean mMissed;
    private int mCheck;
    private int mGeneration;
    private AutoCloseable mWatch;

    KindWatch(
            final Transport transport,
            final ObjectStore store,
            final String kind,
            final Taker taker) {
        mLoop = transport.group().next();
        mStore = store;
        mKind = kind;
        mTaker = taker;
    }

    /** Starts or ends watching; the last version is kept for the next start. */
    void set(final boolean wanted) {
        mLoop.execute(
                () -> {
                    if (wanted == mWanted) {
                        return;
                    }
                    mWanted = wanted;
                    if (wanted) {
                        step();
                        checkLater();
                    } else {
                        endWatch();
                    }
                });
    }

    void stop() {
        set(false);
    }

    // -- checks

    /**
     * Notices a watch that will never tell anything: after an outage of the platform, or when a
     * cheap read shows a change that the watch should have told.
     */
    private void checkLater() {
        final int check = ++mCheck;
        mLoop.schedule(() -> check(check), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(final int check) {
        if (!mWanted || check != mCheck) {
            return;
        }
        mStore.listStale(mKind)
                .whenComplete((list, failure) -> mLoop.execute(() -> onCheck(list, failure)));
        checkLater();
    }

    private void onCheck(final ObjectList list, final Throwable failure) {
        if (failure != null) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "the platform does not answer about %s: %s", mKind, failure.getMessage());
            mMissed = true;
            return;
        }
        final boolean isBehind = list.version() > mVersion && mTaker.differs(list.items());
        if (mWatch != null && (mMissed || isBehind)) {
            LOGGER.atInfo().log("watch of %s is started anew", mKind);
            endWatch();
            step();
        }
        mMissed = false;
    }

    // -- steps

    private void step() {
        if (!mWanted || mBusy) {
            return;
        }
        mBusy = true;
        if (mVersion < 0) {
            list();
        } else {
            watch();
        }
    }

    private void list() {
        mStore.list(mKind)
                .whenComplete((list, failure) -> mLoop.execute(() -> onList(list, failure)));
    }

    private void onList(final ObjectList list, final Throwable failure) {
        mBusy = false;
        if (failure != null) {
            LOGGER.atWarning().log("%s not listed: %s", mKind, failure.getMessage());
            retry();
            return;
        }
        mFailures = 0;
        mVersion = list.version();
        mTaker.onList(list.version(), list.items());
        step();
    }

    private void watch() {
        final int generation = ++mGeneration;
        mWatch =
                mStore.watch(
                        mKind,
                        mVersion,
                        WAIT_MILLIS,
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
        if (generation != mGeneration || !mWanted) {
            return;
        }
        mFailures = 0;
        mVersion = Math.max(mVersion, events.version());
        mTaker.onEvents(events.version(), events.events());
    }

    private void onEnded(final int generation, final RuntimeException cause) {
        if (generation != mGeneration) {
            return;
        }
        mBusy = false;
        mWatch = null;
        LOGGER.atWarning().log("watch of %s ended: %s", mKind, cause.getMessage());
        if (cause instanceof BilberrylaneException known
                && known.code() == ErrorCode.PLATFORM_GONE) {
            mVersion = -1;
            step();
            return;
        }
        retry();
    }

    private void retry() {
        final int most = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << Math.min(3, mFailures++));
        final long pause = MIN_PAUSE_MILLIS / 2 + mRandom.nextInt(most);
        mLoop.schedule(this::step, pause, TimeUnit.MILLISECONDS);
    }

    private void endWatch() {
        mGeneration++;
        mBusy = false;
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
