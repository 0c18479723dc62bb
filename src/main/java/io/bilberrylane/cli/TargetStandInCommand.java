package io.bilberrylane.cli;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.net.Transport;
import io.bilberrylane.node.Addresses;
import io.bilberrylane.standin.TargetSettings;
import io.bilberrylane.standin.TargetStandIn;
import java.util.List;

/** Runs a stand-in for a target. */
final class TargetStandInCommand implements Command {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Override
    public String name() {
        return "target-standin";
    }

    @Override
    public String help() {
        return "run a stand-in for a target that announces itself to its node";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.required("service", "NAME", "catalogue entry that it serves"),
                Flag.of("address", "IP:PORT", "where it serves", "127.0.0.1:0"),
                Flag.of(
                        "announced-address",
                        "IP:PORT",
                        "address that it announces to its node; none for its own address",
                        "none"),
                Flag.of(
                        "control-address",
                        "IP:PORT",
                        "serves /standin/faults and /standin/record",
                        "127.0.0.1:0"),
                Flag.required("node-address", "IP:PORT", "target address of its node"),
                Flag.of("slots", "COUNT", "requests served at once when warm", "6"),
                Flag.of("connections", "COUNT", "accepted connections", "250"),
                Flag.of("cold-slots", "COUNT", "requests that may be in service while cold", "1"),
                Flag.of("warm-up-requests", "COUNT", "requests until it is warm", "50"),
                Flag.of("service-micros", "US", "mean service time, in microseconds", "3000"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final TargetSettings targetSettings =
                new TargetSettings(
                        settings.text("service"),
                        settings.address("address"),
                        settings.textUnlessNone("announced-address")
                                .map(value -> settings.address("announced-address")),
                        settings.address("control-address"),
                        settings.address("node-address"),
                        (int) settings.number("slots", 1, 10_000),
                        (int) settings.number("connections", 1, 100_000),
                        (int) settings.number("cold-slots", 1, 10_000),
                        (int) settings.number("warm-up-requests", 0, 1_000_000),
                        settings.number("service-micros", 0, 60_000_000));
        settings.orThrow();
        final TargetStandIn standIn = TargetStandIn.start(Transport.of(1), targetSettings);
        LOGGER.atInfo().log(
                "target stand-in ready: %s, control %s",
                Addresses.format(standIn.address()), Addresses.format(standIn.controlAddress()));
        return Daemon.runUntilStopped(standIn::close);
    }
}
