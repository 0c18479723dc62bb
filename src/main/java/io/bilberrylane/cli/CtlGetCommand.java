package io.bilberrylane.cli;

import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.ctl.CatalogueStore;
import java.util.List;

/** Prints the accepted catalogue; its revision and author go to standard error. */
final class CtlGetCommand implements Command {
    @Override
    public String name() {
        return "ctl get";
    }

    @Override
    public String help() {
        return "print the accepted catalogue";
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
                    final ConfigurationDocument document = CatalogueStore.of(client).read();
                    System.err.println(
                            "revision " + document.revision() + " by " + document.author());
                    System.out.print(document.text());
                    return 0;
                });
    }
}
