package io.bilberrylane.cli;

import java.util.List;

/** A subcommand of the command line. */
interface Command {
    /** Returns the subcommand's name. */
    String name();

    /** Returns a one-line description for the help. */
    String help();

    /** Returns the settings that the subcommand accepts. */
    List<Flag> flags();

    /** Returns the names of the positional arguments. */
    default List<String> arguments() {
        return List.of();
    }

    /** Runs the subcommand and returns the exit status. */
    int run(Settings settings, List<String> arguments);
}
