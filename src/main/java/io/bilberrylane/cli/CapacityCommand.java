package io.bilberrylane.cli;

import io.bilberrylane.capacity.MeasuredPoint;
import io.bilberrylane.capacity.ScalingMeasurement;
import java.util.List;
import java.util.Locale;

/** Prints the measured growth of bytes, time and memory for the capacity page. */
final class CapacityCommand implements Command {
    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String help() {
        return "measure how bytes, time and memory grow, as a Markdown table";
    }

    @Override
    public List<Flag> flags() {
        return List.of();
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        System.out.println("| matter | size | figure | unit |");
        System.out.println("|---|---:|---:|---|");
        for (final MeasuredPoint point : ScalingMeasurement.measure()) {
            System.out.println(
                    String.format(
                            Locale.ROOT,
                            "| %s | %d | %.2f | %s |",
                            point.metric(),
                            point.size(),
                            point.value(),
                            point.unit()));
        }
        return 0;
    }
}
