package io.bilberrylane.base;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One JSON line for each decision that touches a request or changes a belief. Lines are queued and
 * written by another thread; a full queue drops them and counts what it dropped, and never blocks.
 */
public final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger("decision");

    private DecisionLog() {}

    /**
     * Returns a line for a decision.
     *
     * @param event what was decided, such as {@code call-ended}
     * @return a line without fields
     */
    public static Line event(final String event) {
        return new Line(Objects.requireNonNull(event, "event is null"));
    }

    /** One line, built field by field. */
    public static final class Line {
        private final String mEvent;
        private final List<Object> mFields = new ArrayList<>();

        private Line(final String event) {
            mEvent = event;
        }

        /**
         * Adds a field.
         *
         * @param name its name; a unit ends it
         * @param value its value
         * @return this line
         */
        public Line with(final String name, final Object value) {
            mFields.add(keyValue(name, value));
            return this;
        }

        /** Hands the line to the writer. */
        public void write() {
            if (LOGGER.isInfoEnabled()) {
                LOGGER.info(mEvent, mFields.toArray());
            }
        }
    }
}
