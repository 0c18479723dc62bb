package io.bilberrylane.soak;

import java.util.Locale;
import java.util.Objects;

/**
 * One thing that is done to the fleet.
 *
 * @param atMillis when, in milliseconds since the start of the load
 * @param action what is done
 * @param host the number of the host that it is done to, from 1; 0 for the platform
 * @param value what belongs to the action, or a hyphen
 */
public record SoakStep(long atMillis, Action action, int host, String value) {
    /** What can be done. */
    public enum Action {
        /** The node gets SIGTERM. */
        NODE_LEAVE,
        /** The node gets SIGKILL. */
        NODE_KILL,
        /** The node starts again. */
        NODE_START,
        /** The node stands still. */
        NODE_PAUSE,
        /** The node goes on. */
        NODE_RESUME,
        /** The target gets the faults in the value. */
        TARGET_FAULT,
        /** The platform gets the faults in the value. */
        PLATFORM_FAULT,
        /** The way from the node to its target is harmed. */
        TARGET_LINK,
        /** The way from the node to the platform is harmed. */
        PLATFORM_LINK,
        /** The catalogue is replaced by one with another limit. */
        CHANGE,
        /** The data centre of the host is taken out. */
        TAKE_OUT,
        /** All data centres are taken back. */
        TAKE_BACK;

        /**
         * Returns the name that plans use.
         *
         * @return lower case, with hyphens
         */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Checks that every part is present. */
    public SoakStep {
        Objects.requireNonNull(action, "action is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the step as the script reads it.
     *
     * @return four words
     */
    public String toPlanLine() {
        return atMillis + " " + action.wireName() + " " + host + " " + value;
    }
}
