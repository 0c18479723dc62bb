import java.nio.file.Path;

/** What all cases share: the switch of the disruption and the exit status. */
final class Cases {
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** A case, played on a deployment that is not started yet. */
    interface Play {
        /** Returns whether the rule was broken. */
        boolean isBroken(Fleet fleet, boolean trouble) throws Exception;
    }

    private Cases() {}

    /**
     * Plays a case and ends the program: 1 if the rule was broken, 0 if it held, 2 if the case
     * could not run. TROUBLE=0 leaves the disruption out.
     */
    static void run(final String[] arguments, final Play play) {
        int status = NOT_RUN;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            try {
                fleet.startStore();
                final boolean broken =
                        play.isBroken(fleet, !"0".equals(System.getenv("TROUBLE")));
                fleet.note(broken ? "the rule is broken" : "the rule held");
                status = broken ? BROKEN : 0;
            } catch (Exception e) {
                fleet.note("the case could not run: %s", e);
            }
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }
}
