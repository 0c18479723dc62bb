package io.bilberrylane.soak;

import java.util.Locale;
import java.util.Objects;

/**
 * One step of a soak plan: an action on the fleet at a time.
 *
 * @param atMillis the time of the action, in milliseconds since the start of the load
 * @param action the action
 * @param host the number of the affected host, from 1; 0 if the action affects the platform or the
 *     whole fleet
 * @param value the argument of the action; a hyphen if it has none
 */
public record SoakStep(long atMillis, Action action, int host, String value) {
    /** The kinds of action. */
    public enum Action {
        /** Sends SIGTERM to the node. */
        NODE_LEAVE,
        /** Sends SIGKILL to the node. */
        NODE_KILL,
        /** Starts the node again. */
        NODE_START,
        /** Pauses the node process with SIGSTOP. */
        NODE_PAUSE,
        /** Resumes the paused node process. */
        NODE_RESUME,
        /** Sets the faults of the target to those in the value. */
        TARGET_FAULT,
        /** Sets the faults of the platform to those in the value. */
        PLATFORM_FAULT,
        /** Sets the fault of the proxy between the node and its target. */
        TARGET_LINK,
        /** Sets the fault of the proxy between the node and the platform. */
        PLATFORM_LINK,
        /** Replaces the catalogue by one with a different limit. */
        CHANGE,
        /** Takes the data centre of the host out of service. */
        TAKE_OUT,
        /** Takes all data centres back into service. */
        TAKE_BACK;

        /**
         * Returns the name used in plan lines.
         *
         * @return the name in lower case, with hyphens
         */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Checks that no component is null. */
    public SoakStep {
        Objects.requireNonNull(action, "action is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the step as a plan line, as {@code bin/soak} reads it.
     *
     * @return time, action, host and value, separated by spaces
     */
    public String toPlanLine() {
        return atMillis + " " + action.wireName() + " " + host + " " + value;
    }
}
