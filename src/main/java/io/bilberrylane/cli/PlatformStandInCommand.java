package io.bilberrylane.cli;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.net.Transport;
import io.bilberrylane.node.Addresses;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import java.net.InetSocketAddress;
import java.util.List;

/** Runs an in-memory stand-in for the platform's object API. */
final class PlatformStandInCommand implements Command {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Override
    public String name() {
        return "platform-standin";
    }

    @Override
    public String help() {
        return "run a stand-in for the platform's object API, in memory";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.of("address", "IP:PORT", "where it listens", "127.0.0.1:0"),
                Flag.of("slow-millis", "MS", "delay of each response, in milliseconds", "0"),
                Flag.of(
                        "lose-percent",
                        "PERCENT",
                        "writes whose response is lost, in percent",
                        "0"),
                Flag.of("writes-per-second", "COUNT", "accepted writes; 0 for no limit", "0"),
                Flag.of("reads-per-second", "COUNT", "accepted reads; 0 for no limit", "0"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final InetSocketAddress address = settings.address("address");
        final PlatformFaults faults =
                new PlatformFaults(
                        false,
                        settings.number("slow-millis", 0, 600_000),
                        (int) settings.number("lose-percent", 0, 100),
                        false,
                        (int) settings.number("writes-per-second", 0, 1_000_000),
                        (int) settings.number("reads-per-second", 0, 1_000_000));
        settings.orThrow();
        final Transport transport = Transport.of(1);
        final PlatformStandIn standIn = PlatformStandIn.start(transport, address, faults);
        LOGGER.atInfo().log("platform stand-in ready: %s", Addresses.format(standIn.address()));
        return Daemon.runUntilStopped(standIn::close);
    }
}
