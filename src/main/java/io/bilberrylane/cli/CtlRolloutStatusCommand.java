package io.bilberrylane.cli;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.ctl.RolloutStore;
import java.util.List;

/** Prints the orders for roll-outs and their states. */
final class CtlRolloutStatusCommand implements Command {
    @Override
    public String name() {
        return "ctl rollout status";
    }

    @Override
    public String help() {
        return "print the orders for roll-outs and their states";
    }

    @Override
    public List<Flag> flags() {
        return List.of(CtlSupport.PLATFORM, CtlSupport.TIMEOUT);
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        return CtlSupport.withPlatform(
                settings,
                (transport, client) -> {
                    new RolloutStore(client, OwnConfigurationFormat.ROLLOUTS)
                            .lines()
                            .forEach(System.out::println);
                    return 0;
                });
    }
}
