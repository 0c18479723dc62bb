package io.bilberrylane.cli;

import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.CatalogueReader;
import java.util.List;

/** Validates a catalogue file without connecting to a platform. */
final class CtlCheckCommand implements Command {
    @Override
    public String name() {
        return "ctl check";
    }

    @Override
    public String help() {
        return "check a catalogue file without applying it";
    }

    @Override
    public List<Flag> flags() {
        return List.of();
    }

    @Override
    public List<String> arguments() {
        return List.of("FILE");
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final String file = arguments.get(0);
        final CatalogueCheck check = CatalogueReader.read(file, CtlSupport.readFile(file));
        check.orThrow();
        System.out.println(
                file
                        + ": valid, "
                        + check.catalogue().services().size()
                        + " services"
                        + organisations(check.catalogue().organisations().size()));
        return 0;
    }

    private static String organisations(final int count) {
        return count == 0 ? "" : ", " + count + " organisations";
    }
}
