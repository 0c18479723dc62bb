package io.bilberrylane.cli;

import java.util.Locale;
import java.util.Objects;

/**
 * A setting of a command, given as a flag or as an environment variable.
 *
 * @param name the name of the flag without the leading hyphens
 * @param metavar the placeholder for the value in the help
 * @param help the description, with the unit
 * @param defaultValue the default; empty if the setting is required
 */
record Flag(String name, String metavar, String help, String defaultValue) {
    /** The prefix of the environment variable of every flag. */
    static final String ENVIRONMENT_PREFIX = "BILBERRYLANE_";

    Flag {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(metavar, "metavar is null");
        Objects.requireNonNull(help, "help is null");
        Objects.requireNonNull(defaultValue, "fallback is null");
    }

    static Flag required(final String name, final String metavar, final String help) {
        return new Flag(name, metavar, help, "");
    }

    static Flag of(
            final String name, final String metavar, final String help, final String defaultValue) {
        return new Flag(name, metavar, help, defaultValue);
    }

    String environmentVariable() {
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String destination() {
        return name.replace('-', '_');
    }

    String fullHelp() {
        final String defaultText = defaultValue.isEmpty() ? "" : "; default " + defaultValue;
        return help + defaultText + " [" + environmentVariable() + "]";
    }
}
