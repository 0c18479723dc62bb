package io.bilberrylane.cli;

import io.bilberrylane.node.Node;
import io.bilberrylane.node.NodeSettings;
import java.util.List;

/** Runs the daemon beside a target. */
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
        return List.of(
                Flag.required("host", "NAME", "host name, unique in the fleet"),
                Flag.required("data-centre", "NAME", "data centre of this host"),
                Flag.of("caller-address", "IP:PORT", "where callers connect", "127.0.0.1:0"),
                Flag.of("peer-address", "IP:PORT", "where other nodes connect", "127.0.0.1:0"),
                Flag.of(
                        "target-address",
                        "IP:PORT",
                        "where the target announces itself and sends its own calls",
                        "127.0.0.1:0"),
                Flag.of(
                        "operator-address",
                        "IP:PORT",
                        "serves /healthz, /readyz, /metrics and /status",
                        "127.0.0.1:0"),
                Flag.required("platform", "URL", "the platform's object API, http://IP:PORT"),
                Flag.of("workers", "COUNT", "worker threads", "1"),
                Flag.of(
                        "drain-millis",
                        "MS",
                        "longest time for calls in progress when leaving, in milliseconds",
                        "30000"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final NodeSettings nodeSettings =
                new NodeSettings(
                        settings.text("host"),
                        settings.text("data-centre"),
                        settings.address("caller-address"),
                        settings.address("peer-address"),
                        settings.address("target-address"),
                        settings.address("operator-address"),
                        settings.httpUri("platform"),
                        (int) settings.number("workers", 1, 64),
                        settings.number("drain-millis", 0, 3_600_000));
        settings.orThrow();
        final Node node = Node.start(nodeSettings);
        return Daemon.runUntilStopped(node::leave);
    }
}
