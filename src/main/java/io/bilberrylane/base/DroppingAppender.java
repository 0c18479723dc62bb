package io.bilberrylane.base;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** An appender with a bounded queue. If the queue is full, it drops new lines and counts them. */
public final class DroppingAppender extends AsyncAppender {
    private static final LongAdder DROPPED = new LongAdder();

    private final AtomicLong mAccepted = new AtomicLong();

    /** Creates an appender that never blocks. */
    public DroppingAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /**
     * Returns the number of lines dropped since the process started.
     *
     * @return the count, which never decreases
     */
    public static long droppedCount() {
        return DROPPED.sum();
    }

    /** Returns the number of lines that were put into the queue. */
    long acceptedCount() {
        return mAccepted.get();
    }

    /**
     * One thread at a time, so that a line that finds room is never dropped after it is counted.
     */
    @Override
    protected synchronized void append(final ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.increment();
            return;
        }
        mAccepted.incrementAndGet();
        super.append(event);
    }
}
