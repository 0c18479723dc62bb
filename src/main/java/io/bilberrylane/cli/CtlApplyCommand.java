package io.bilberrylane.cli;

import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.ctl.ApplyOutcome;
import io.bilberrylane.ctl.CatalogueStore;
import java.util.List;

/** Validates a catalogue file and applies it to the platform. */
final class CtlApplyCommand implements Command {
    @Override
    public String name() {
        return "ctl apply";
    }

    @Override
    public String help() {
        return "check a catalogue file and apply it";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                CtlSupport.PLATFORM,
                CtlSupport.TIMEOUT,
                Flag.of("author", "NAME", "author of the change", "operator"),
                Flag.of(
                        "base",
                        "REVISION",
                        "revision that the change is based on; 'latest' uses the newest",
                        "latest"));
    }

    @Override
    public List<String> arguments() {
        return List.of("FILE");
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final String file = arguments.get(0);
        final String text = CtlSupport.readFile(file);
        CatalogueReader.read(file, text).orThrow();
        final String author = settings.text("author");
        final boolean latest = settings.text("base").equals("latest");
        final long base = latest ? -1 : settings.number("base", 0, Long.MAX_VALUE);
        return CtlSupport.withPlatform(
                settings,
                (transport, client) -> {
                    final ApplyOutcome outcome =
                            CatalogueStore.of(client).apply(text, author, base);
                    System.out.println(
                            "revision "
                                    + outcome.revision()
                                    + " accepted"
                                    + (outcome.confirmedByChangeId()
                                            ? " (the platform's response was lost)"
                                            : ""));
                    return 0;
                });
    }
}
