package io.bilberrylane.cli;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.load.Deployment;
import io.bilberrylane.load.LoadReport;
import io.bilberrylane.load.LoadRun;
import io.bilberrylane.load.LoadSettings;
import io.bilberrylane.load.Operation;
import io.bilberrylane.net.Transport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Generates load and checks every response. */
final class LoadCommand implements Command {
    @Override
    public String name() {
        return "load";
    }

    @Override
    public String help() {
        return "send a deployment's calls, check every response; exit status 1 on any violation";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.of("deployment", "NAME", "castor or padana", "castor"),
                Flag.of("only", "KIND", "all, lookup, registration or upload", "all"),
                Flag.required("nodes", "IP:PORT,...", "caller addresses of nodes"),
                Flag.of(
                        "versus",
                        "IP:PORT,...",
                        "addresses that receive half of the calls directly, without a node in"
                                + " between, for comparison; none for no comparison",
                        "none"),
                Flag.of("controls", "IP:PORT,...", "control addresses of target stand-ins", "none"),
                Flag.of("rate", "CALLS", "arrivals per second", "200"),
                Flag.of("seconds", "S", "length of the run, in seconds", "10"),
                Flag.of(
                        "warm-up-seconds",
                        "S",
                        "initial period left out of the latencies, in seconds",
                        "0"),
                Flag.of("answer-bytes", "BYTES", "length of each response, in bytes", "1024"),
                Flag.of("upload-bytes", "BYTES", "length of each upload, in bytes", "1048576"),
                Flag.of(
                        "organisation-keys",
                        "KEY,...",
                        "keys of organisations, one of which each call carries; none for no key",
                        "none"),
                Flag.of("seed", "NUMBER", "seed of every random choice", "1"),
                Flag.of("json", "FILE", "writes the figures as JSON", "none"),
                Flag.of("svg", "FILE", "writes the latency chart", "none"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final String deploymentName = settings.text("deployment");
        final String kind = settings.text("only");
        final List<Operation> operations =
                Deployment.ofName(deploymentName)
                        .map(Deployment::operations)
                        .orElse(List.of())
                        .stream()
                        .filter(
                                operation ->
                                        kind.equals("all")
                                                || operation.kind().name().equalsIgnoreCase(kind))
                        .toList();
        if (operations.isEmpty()) {
            throw new BilberrylaneException(
                    ErrorCode.SETTINGS_INVALID,
                    "--deployment must be castor or padana, --only all, lookup, registration or"
                            + " upload");
        }
        final LoadSettings loadSettings =
                new LoadSettings(
                        operations,
                        settings.addresses("nodes"),
                        isNone(settings, "versus") ? List.of() : settings.addresses("versus"),
                        isNone(settings, "controls") ? List.of() : settings.addresses("controls"),
                        settings.decimal("rate", 0.01, 1_000_000),
                        settings.decimal("seconds", 0.1, 86_400),
                        (int) settings.number("answer-bytes", 0, 1 << 30),
                        settings.number("upload-bytes", 1, 1L << 40),
                        settings.decimal("warm-up-seconds", 0, 86_400),
                        isNone(settings, "organisation-keys")
                                ? List.of()
                                : List.of(settings.text("organisation-keys").split(",")),
                        settings.number("seed", Long.MIN_VALUE, Long.MAX_VALUE));
        settings.orThrow();
        try (Transport transport = Transport.of(2)) {
            final LoadReport report = LoadRun.play(transport, loadSettings);
            System.out.print(report.text());
            write(settings, "json", report.json());
            write(settings, "svg", report.svg());
            return report.isClean() ? 0 : 1;
        }
    }

    private static boolean isNone(final Settings settings, final String name) {
        return settings.optionalText(name).equals("none");
    }

    private static void write(final Settings settings, final String name, final String content) {
        if (isNone(settings, name)) {
            return;
        }
        try {
            Files.writeString(Path.of(settings.text(name)), content);
        } catch (IOException e) {
            throw new BilberrylaneException(
                    ErrorCode.SETTINGS_INVALID, "--" + name + ": the file cannot be written", e);
        }
    }
}
