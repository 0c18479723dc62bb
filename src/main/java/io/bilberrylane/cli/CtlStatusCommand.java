package io.bilberrylane.cli;

import io.bilberrylane.ctl.FleetStatus;
import io.bilberrylane.ctl.FleetStatusReader;
import io.bilberrylane.net.Transport;
import java.net.InetSocketAddress;
import java.util.List;

/** Prints the status of nodes; exits with 1 unless all respond with the newest revision. */
final class CtlStatusCommand implements Command {
    @Override
    public String name() {
        return "ctl status";
    }

    @Override
    public String help() {
        return "print the revision, load and membership view of each node";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.required("nodes", "IP:PORT,...", "operator addresses of nodes"),
                CtlSupport.TIMEOUT);
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final List<InetSocketAddress> nodes = settings.addresses("nodes");
        final long timeoutMillis = settings.number("timeout-millis", 1, 600_000);
        settings.orThrow();
        try (Transport transport = Transport.of(1)) {
            final FleetStatus status = FleetStatusReader.read(transport, nodes, timeoutMillis);
            System.out.print(status.table());
            return status.isInForceEverywhere() ? 0 : 1;
        }
    }
}
