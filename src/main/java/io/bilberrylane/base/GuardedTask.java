package io.bilberrylane.base;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;

/**
 * A recurring task whose unexpected errors are logged and counted. Without this, an executor ends
 * the recurrence at the first error and reports it nowhere.
 */
public final class GuardedTask implements Runnable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final LongAdder FAILURES = new LongAdder();

    private final String mName;
    private final Runnable mAction;

    private GuardedTask(final String name, final Runnable action) {
        mName = name;
        mAction = action;
    }

    /**
     * Returns a task that runs an action.
     *
     * @param name names the task in log lines
     * @param action the action
     * @return the task, which never throws an exception
     */
    public static GuardedTask of(final String name, final Runnable action) {
        return new GuardedTask(
                Objects.requireNonNull(name, "name is null"),
                Objects.requireNonNull(action, "action is null"));
    }

    /**
     * Returns how many runs of all tasks have failed since the start of the process.
     *
     * @return a count
     */
    public static long failures() {
        return FAILURES.sum();
    }

    @Override
    public void run() {
        try {
            mAction.run();
        } catch (RuntimeException | AssertionError | StackOverflowError e) {
            FAILURES.increment();
            LOGGER.atSevere().withCause(e).log(
                    "task '%s' failed; its next run is not affected", mName);
        }
    }
}
