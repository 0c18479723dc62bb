package io.bilberrylane.base;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Writes lines to standard output in batches. After a line it pauses, so that the lines that follow
 * are collected in the queue before it and cost one wake-up of the writing thread and one write
 * together, and their senders wake nobody. Runs on the one thread that empties the queue. That
 * thread takes several lines at a time, so the lines to come are those accepted and not written,
 * not those in the queue.
 */
class BatchingConsoleAppender extends ConsoleAppender<ILoggingEvent> {
    /** How late a line may be; a process that is killed loses the lines of this time at most. */
    private static final long PAUSE_MILLIS = 100;

    private final LongSupplier mAcceptedLines;
    private long mWrittenLines;

    /** The lines that were accepted by the end of the last pause and are not written yet. */
    private long mRestOfBatch;

    /**
     * Creates an appender.
     *
     * @param acceptedLines returns the number of lines that the queue has accepted
     */
    BatchingConsoleAppender(final LongSupplier acceptedLines) {
        mAcceptedLines = Objects.requireNonNull(acceptedLines, "acceptedLines is null");
        setImmediateFlush(false);
    }

    @Override
    protected void append(final ILoggingEvent event) {
        super.append(event);
        mWrittenLines++;
        if (mRestOfBatch > 1) {
            mRestOfBatch--;
            return;
        }
        flush();
        if (mRestOfBatch == 1) {
            mRestOfBatch = 0;
            return;
        }
        if (linesToCome() == 0) {
            // Returns at once when the queue is stopped, which interrupts its thread.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
        }
        mRestOfBatch = linesToCome();
    }

    private long linesToCome() {
        return mAcceptedLines.getAsLong() - mWrittenLines;
    }

    private void flush() {
        try {
            getOutputStream().flush();
        } catch (IOException e) {
            addError("standard output can't be written", e);
        }
    }

    @Override
    public void stop() {
        if (isStarted()) {
            flush();
        }
        super.stop();
    }
}
