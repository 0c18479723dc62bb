package io.bilberrylane.cli;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.FindingsException;
import io.bilberrylane.base.LoggingProvider;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The entry point of the program: parses the command line and runs a subcommand. */
public final class Main {
    /** Detecting the width of the terminal would start a process. */
    private static final int HELP_WIDTH_COLUMNS = 100;

    private static final String COMMAND = "command";
    private static final String NODE_COMMAND = "node";

    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(final String[] arguments) {
        LoggingProvider.install();
        if (arguments.length > 0 && arguments[0].equals(NODE_COMMAND)) {
            HangUpSignal.capture();
        }
        System.exit(run(arguments, System.getenv()));
    }

    static int run(final String[] arguments, final Map<String, String> environment) {
        final Map<String, Command> commands = commands();
        final ArgumentParser parser = parser(commands);
        final Namespace namespace;
        try {
            namespace = parser.parseArgs(arguments);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ErrorCode.SETTINGS_INVALID.exitStatus();
        }
        return run(commands.get(namespace.getString(COMMAND)), namespace, environment);
    }

    private static int run(
            final Command command,
            final Namespace namespace,
            final Map<String, String> environment) {
        final List<String> positional = new ArrayList<>();
        command.arguments().forEach(name -> positional.add(namespace.getString(name)));
        try {
            return command.run(settings(command, namespace, environment), positional);
        } catch (FindingsException e) {
            e.findings().forEach(finding -> System.err.println(finding.line()));
            return e.code().exitStatus();
        } catch (BilberrylaneException e) {
            System.err.println("error: " + e.getMessage() + " [" + e.code().wireName() + "]");
            return e.code().exitStatus();
        }
    }

    /**
     * Returns the settings in a command line, without running its command.
     *
     * @param arguments a valid command line
     * @return the settings, without environment variables
     * @throws IllegalArgumentException if the command line is not valid
     */
    static Settings settings(final String... arguments) {
        final Map<String, Command> commands = commands();
        try {
            final Namespace namespace = parser(commands).parseArgs(arguments);
            return settings(commands.get(namespace.getString(COMMAND)), namespace, Map.of());
        } catch (ArgumentParserException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static Settings settings(
            final Command command,
            final Namespace namespace,
            final Map<String, String> environment) {
        final Map<String, Flag> flags = new LinkedHashMap<>();
        command.flags().forEach(flag -> flags.put(flag.name(), flag));
        return new Settings(namespace, environment, flags);
    }

    private static Map<String, Command> commands() {
        final Map<String, Command> commands = new LinkedHashMap<>();
        for (final Command command :
                List.of(
                        new NodeCommand(),
                        new CtlApplyCommand(),
                        new CtlGetCommand(),
                        new CtlCheckCommand(),
                        new CtlStatusCommand(),
                        new CtlRolloutStartCommand(),
                        new CtlRolloutStatusCommand(),
                        new LoadCommand(),
                        new CapacityCommand(),
                        new RehearsalCommand(),
                        new SoakPlanCommand(),
                        new FaultProxyCommand(),
                        new PlatformStandInCommand(),
                        new TargetStandInCommand())) {
            commands.put(command.name(), command);
        }
        return commands;
    }

    private static ArgumentParser parser(final Map<String, Command> commands) {
        final ArgumentParser parser =
                ArgumentParsers.newFor("bilberrylane")
                        .terminalWidthDetection(false)
                        .defaultFormatWidth(HELP_WIDTH_COLUMNS)
                        .build()
                        .description(
                                "A load balancer for services whose load shifts in"
                                        + " milliseconds.");
        final Subparsers subparsers =
                parser.addSubparsers().title("commands").metavar("COMMAND").dest("group");
        Subparsers ctl = null;
        Subparsers rollout = null;
        for (final Command command : commands.values()) {
            if (command.name().startsWith("ctl ")) {
                if (ctl == null) {
                    ctl =
                            subparsers
                                    .addParser("ctl")
                                    .help("commands for operators")
                                    .addSubparsers()
                                    .title("commands")
                                    .metavar("COMMAND")
                                    .dest("action");
                }
                if (!command.name().startsWith("ctl rollout ")) {
                    addCommand(ctl, command.name().substring("ctl ".length()), command);
                    continue;
                }
                if (rollout == null) {
                    rollout =
                            ctl.addParser("rollout")
                                    .help("commands for roll-outs")
                                    .addSubparsers()
                                    .title("commands")
                                    .metavar("COMMAND")
                                    .dest("step");
                }
                addCommand(rollout, command.name().substring("ctl rollout ".length()), command);
            } else {
                addCommand(subparsers, command.name(), command);
            }
        }
        return parser;
    }

    private static void addCommand(
            final Subparsers subparsers, final String name, final Command command) {
        final Subparser subparser =
                subparsers
                        .addParser(name)
                        .help(command.help())
                        .description(command.help())
                        .setDefault(COMMAND, command.name());
        command.arguments().forEach(argument -> subparser.addArgument(argument).metavar(argument));
        for (final Flag flag : command.flags()) {
            subparser
                    .addArgument("--" + flag.name())
                    .metavar(flag.metavar())
                    .dest(flag.destination())
                    .help(flag.fullHelp());
        }
    }
}
