package io.bilberrylane.base;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/** A bounded queue of log lines that drops what does not fit, and counts it. */
public final class DroppingAppender extends AsyncAppender {
    private static final LongAdder DROPPED = new LongAdder();

    /** Creates an appender that never blocks. */
    public DroppingAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /**
     * Returns how many lines were dropped since the start.
     *
     * @return a count that only grows
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
