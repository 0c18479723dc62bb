package io.bilberrylane.cli;

import java.util.List;

/** One subcommand. */
interface Command {
    /** Returns the subcommand's name. */
    String name();

    /** Returns one line on what it does. */
    String help();

    /** Returns its settings. */
    List<Flag> flags();

    /** Returns the names of its positional arguments. */
    default List<String> arguments() {
        return List.of();
    }

    /** Runs it and returns the exit status. */
    int run(Settings settings, List<String> arguments);
}
