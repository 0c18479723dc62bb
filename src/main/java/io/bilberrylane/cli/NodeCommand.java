package io.bilberrylane.cli;

import io.bilberrylane.base.FindingsException;
import io.bilberrylane.node.Node;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Runs a node, the daemon beside a target, until it is stopped. */
final class NodeCommand implements Command {
    @Override
    public String name() {
        return "node";
    }

    @Override
    public String help() {
        return "run the daemon beside a target";
    }

    @Override
    public List<Flag> flags() {
        return NodeSettingsReader.flags();
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final Node node = start(settings);
        return Daemon.runUntilStopped(node::leave);
    }

    /** Starts a node that follows the changes of its settings file, if it has one. */
    static Node start(final Settings settings) {
        final Optional<Path> file = NodeSettingsReader.configFile(settings).map(Path::of);
        final Node node = Node.start(NodeSettingsReader.read(layered(settings, file)));
        file.ifPresent(
                path ->
                        SettingsReloader.start(
                                path,
                                () -> NodeSettingsReader.read(layered(settings, file)),
                                node::reload));
        return node;
    }

    /** Returns the settings with the file, if any, as a source of lower precedence. */
    private static Settings layered(final Settings settings, final Optional<Path> file)
            throws FindingsException {
        return file.map(settings::withFile).orElse(settings);
    }
}
