package io.bilberrylane.cli;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.ctl.RolloutStore;
import java.util.List;

/** Orders that the calls of a service move to targets of a new version. */
final class CtlRolloutStartCommand implements Command {
    @Override
    public String name() {
        return "ctl rollout start";
    }

    @Override
    public String help() {
        return "move the calls of a service to targets of a new version";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                CtlSupport.PLATFORM,
                CtlSupport.TIMEOUT,
                Flag.required("version", "VERSION", "version that the new targets announce"),
                Flag.required("duration", "S", "time for the roll-out, in seconds"));
    }

    @Override
    public List<String> arguments() {
        return List.of("SERVICE");
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final String version = settings.text("version");
        final double seconds = settings.decimal("duration", 0.001, 86_400);
        return CtlSupport.withPlatform(
                settings,
                (transport, client) -> {
                    final RolloutStore store =
                            new RolloutStore(client, OwnConfigurationFormat.ROLLOUTS);
                    System.out.println(
                            "order accepted at revision "
                                    + store.start(arguments.get(0), version, seconds).revision());
                    return 0;
                });
    }
}
