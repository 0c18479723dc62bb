package io.bilberrylane.base;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one JSON log line for each decision that affects a request or changes an estimate or a
 * table of the node. Lines are queued and written by another thread. If the queue is full, a line
 * is dropped and counted; the caller never blocks.
 */
public final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger("decision");

    /** A queue of lines has a bounded length only if each line has. */
    private static final int MAX_TEXT_CHARS = 1_000;

    /** The lines of a call have so many fields. */
    private static final int USUAL_FIELDS = 16;

    private DecisionLog() {}

    /**
     * Returns a log line for a decision.
     *
     * @param event the name of the event, such as {@code call-ended}
     * @return a line without fields
     */
    public static Line event(final String event) {
        return new Line(Objects.requireNonNull(event, "event is null"));
    }

    /**
     * Returns the beginning of a text that comes from elsewhere, for a log line.
     *
     * @param text the text, or null
     * @return at most the first {@value #MAX_TEXT_CHARS} characters, or null
     */
    public static String shortened(final String text) {
        return text == null || text.length() <= MAX_TEXT_CHARS
                ? text
                : text.substring(0, MAX_TEXT_CHARS);
    }

    /** A builder for one log line. Not thread-safe. */
    public static final class Line {
        private final String mEvent;
        private final List<Object> mFields = new ArrayList<>(USUAL_FIELDS);

        private Line(final String event) {
            mEvent = event;
        }

        /**
         * Adds a field.
         *
         * @param name the name of the field; ends with the unit if there is one
         * @param value the value of the field
         * @return this line
         */
        public Line with(final String name, final Object value) {
            mFields.add(new LogField(name, value instanceof String text ? shortened(text) : value));
            return this;
        }

        /** Queues the line for the writer thread. */
        public void write() {
            if (LOGGER.isInfoEnabled()) {
                LOGGER.info(mEvent, mFields.toArray());
            }
        }
    }
}
