package io.bilberrylane.cli;

import io.bilberrylane.soak.SoakPlan;
import java.util.List;

/** Prints the plan of faults for a soak test. */
final class SoakPlanCommand implements Command {
    @Override
    public String name() {
        return "soak-plan";
    }

    @Override
    public String help() {
        return "print a seeded plan of faults: time in ms, action, host, value";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.of("seed", "NUMBER", "seed of every random choice", "1"),
                Flag.of("hosts", "COUNT", "number of hosts in the fleet", "6"),
                Flag.of("seconds", "S", "length of the plan, in seconds", "20"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final long seed = settings.number("seed", Long.MIN_VALUE, Long.MAX_VALUE);
        final int hosts = (int) settings.number("hosts", 3, 200);
        final int seconds = (int) settings.number("seconds", 1, 86_400);
        settings.orThrow();
        SoakPlan.of(seed, hosts, seconds).forEach(step -> System.out.println(step.toPlanLine()));
        return 0;
    }
}
