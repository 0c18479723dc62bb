import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A request that crashes each worker that begins to run it comes again and again. */
final class CrashCase {
    private static final String PATH = "/read/poison";
    private static final double LIVENESS_SECONDS = 3;
    private static final int MAX_RETRIES = 3;
    private static final double RESTART_SECONDS = 2.5;
    private static final double END_SECONDS = 112;

    private record Crash(String requestId, double seconds) {}

    private CrashCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, CrashCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        final ConcurrentLinkedQueue<Crash> crashes = new ConcurrentLinkedQueue<>();
        fleet.putConfig(
                "[" + Fleet.service("alpha") + "," + Fleet.service("beta") + "]",
                "["
                        + Fleet.host(
                                "shop.example",
                                Fleet.route("/read/", "safe", "alpha", 1.5, 0.5))
                        + "]");
        for (int i = 1; i <= 5; i++) {
            final Fleet.Machine machine =
                    fleet.addMachine("side-" + i, "zone-" + "abc".charAt(i % 3), "alpha");
            machine.worker.setJob(
                    run -> {
                        if (!trouble || !run.head().target().equals(PATH)) {
                            Thread.sleep(40);
                            return 200;
                        }
                        crashes.add(new Crash(run.id(), run.startSeconds()));
                        machine.worker.crash();
                        Thread.ofVirtual().start(() -> restartLater(machine.worker));
                        return -1;
                    });
        }
        fleet.startNodes();
        int sent = 0;
        while (fleet.seconds() < END_SECONDS && !isBroken(crashes)) {
            final Fleet.Machine machine = fleet.machines.get(sent++ % fleet.machines.size());
            final String id = Client.newId();
            final Client.Answer answer =
                    Client.call(
                            machine.outbound,
                            "GET " + PATH + " HTTP/1.1",
                            Client.headers("shop.example", id, 3_000),
                            null,
                            4_000);
            fleet.note("client at %s, id %s: %s", machine.name, id, answer);
            final Client.Answer other =
                    Client.call(
                            machine.outbound,
                            "GET /read/other HTTP/1.1",
                            Client.headers("shop.example", Client.newId(), 3_000),
                            null,
                            4_000);
            fleet.note("client at %s, another request: %s", machine.name, other);
            Thread.sleep(1_000);
        }
        fleet.note(
                "the request was sent %d times and crashed workers %d times; retries that"
                        + " reached workers later than %.0f s after the third crash: %s; the"
                        + " rule allows %d",
                sent, crashes.size(), LIVENESS_SECONDS, lateRetries(crashes), MAX_RETRIES);
        return isBroken(crashes);
    }

    private static void restartLater(final Worker worker) {
        try {
            Thread.sleep((long) (RESTART_SECONDS * 1_000));
            worker.start(1.5);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean isBroken(final Iterable<Crash> crashes) {
        return lateRetries(crashes).size() > MAX_RETRIES;
    }

    /** Returns the attempts of clients that reached workers too late, each once. */
    private static Set<String> lateRetries(final Iterable<Crash> crashes) {
        final List<Crash> all = new java.util.ArrayList<>();
        crashes.forEach(all::add);
        final Set<String> late = new HashSet<>();
        if (all.size() < 3) {
            return late;
        }
        final double third = all.get(2).seconds();
        all.stream()
                .filter(crash -> crash.seconds() > third + LIVENESS_SECONDS + 0.5)
                .forEach(crash -> late.add(crash.requestId()));
        return late;
    }
}
