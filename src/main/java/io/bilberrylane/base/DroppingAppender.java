package io.bilberrylane.base;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/** An appender with a bounded queue. If the queue is full, it drops new lines and counts them. */
public final class DroppingAppender extends AsyncAppender {
    private static final LongAdder DROPPED = new LongAdder();

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

    @Override
    protected void append(final ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.increment();
            return;
        }
        super.append(event);
    }
}
