package io.bilberrylane.cli;

import java.util.Locale;
import java.util.Objects;

/**
 * One setting of a command.
 *
 * @param name the flag without its hyphens
 * @param metavar what stands for the value in the help
 * @param help what it does, with its unit
 * @param fallback the default, or empty when the setting is required
 */
record Flag(String name, String metavar, String help, String fallback) {
    /** The prefix of every environment variable. */
    static final String PREFIX = "BILBERRYLANE_";

    Flag {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(metavar, "metavar is null");
        Objects.requireNonNull(help, "help is null");
        Objects.requireNonNull(fallback, "fallback is null");
    }

    static Flag required(final String name, final String metavar, final String help) {
        return new Flag(name, metavar, help, "");
    }

    static Flag of(
            final String name, final String metavar, final String help, final String fallback) {
        return new Flag(name, metavar, help, fallback);
    }

    String variable() {
        return PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String destination() {
        return name.replace('-', '_');
    }

    String fullHelp() {
        final String end = fallback.isEmpty() ? "" : "; default " + fallback;
        return help + end + " [" + variable() + "]";
    }
}
