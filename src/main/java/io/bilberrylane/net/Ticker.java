package io.bilberrylane.net;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Runs the recurring tasks of a process on one timer, so that tasks that are due at the same time
 * cost one wake-up of the event loop instead of one each.
 */
public final class Ticker {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The interval of each task is a multiple of this. */
    public static final long TICK_MILLIS = 100;

    private record Task(long intervalTicks, Runnable action) {}

    private final EventLoop mLoop;
    private final List<Task> mTasks = new CopyOnWriteArrayList<>();
    private Future<?> mTimer;
    private long mTicks;

    Ticker(final EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Runs an action at a fixed rate, the first time within one interval. The timer runs while
     * there are tasks.
     *
     * @param intervalMillis the interval, a multiple of {@value #TICK_MILLIS} ms
     * @param action runs on one event loop; an exception is logged and affects no further run
     * @return ends the runs
     */
    public Runnable every(final long intervalMillis, final Runnable action) {
        if (intervalMillis <= 0 || intervalMillis % TICK_MILLIS != 0) {
            throw new IllegalArgumentException(
                    "intervalMillis must be a positive multiple of " + TICK_MILLIS);
        }
        final Task task =
                new Task(
                        intervalMillis / TICK_MILLIS,
                        Objects.requireNonNull(action, "action is null"));
        mTasks.add(task);
        start();
        return () -> remove(task);
    }

    private synchronized void start() {
        if (mTimer == null) {
            mTimer =
                    mLoop.scheduleAtFixedRate(
                            this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void remove(final Task task) {
        // Two tasks may be equal as records; the one that is removed is this one.
        mTasks.removeIf(other -> other == task);
        if (mTasks.isEmpty() && mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private static void run(final Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("a recurring task failed; its next run follows");
        }
    }

    private void tick() {
        mTicks++;
        for (final Task task : mTasks) {
            if (mTicks % task.intervalTicks() == 0) {
                run(task.action());
            }
        }
    }
}
