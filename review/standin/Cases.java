import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Plays one case of the review and checks its rule. The exit status is 1 if the rule was broken, 0
 * if it held, and 2 if the case could not run.
 */
public final class Cases {
    private static final int LIMIT_MILLIS = 115_000;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private Cases() {}

    /**
     * Plays a case.
     *
     * @param arguments the case's name and its folder
     */
    public static void main(final String[] arguments) {
        Worker.daemon(
                () -> {
                    sleep(LIMIT_MILLIS);
                    System.err.println("the case took too long");
                    System.exit(2);
                });
        int status = 2;
        try {
            final Record record = new Record(Path.of(arguments[1], "record.txt"));
            final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.log("case %s, trouble: %s", arguments[0], trouble);
            final List<String> breaks =
                    switch (arguments[0]) {
                        case "ill" -> IllTwice.play(record, trouble);
                        case "upload" -> LostPart.play(record, trouble);
                        case "twice" -> SecondRun.play(record, trouble);
                        case "broken" -> BrokenOff.play(record, trouble);
                        case "smuggled" -> Smuggled.play(record, trouble);
                        case "late" -> LateBeat.play(record, trouble);
                        default -> throw new IllegalArgumentException(arguments[0]);
                    };
            breaks.forEach(line -> record.log("BROKEN   %s", line));
            record.log(
                    "%d requests answered, %d runs, rule broken %d times",
                    record.answers().size(), record.runs().size(), breaks.size());
            System.out.println(
                    (breaks.isEmpty() ? "held: " : "broken " + breaks.size() + " times: ")
                            + record.answers().size()
                            + " requests, "
                            + record.runs().size()
                            + " runs");
            status = breaks.isEmpty() ? 0 : 1;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
            System.err.println("the case could not run: " + e.getMessage());
        }
        System.exit(status);
    }

    static void sleep(final long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- load

    static ExecutorService clients() {
        return Executors.newCachedThreadPool(
                task -> {
                    final Thread thread = new Thread(null, task, "client", 256 * 1024);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Waits until requests through a node succeed one after the other. */
    static void warmUp(final Client client, final String path, final int count)
            throws IOException {
        int successes = 0;
        for (int i = 0; i < 400 && successes < count; i++) {
            final int status = client.send("warm-" + i, "POST", path, new byte[8]);
            successes = status == 200 ? successes + 1 : 0;
            sleep(status == 200 ? 5 : 50);
        }
        if (successes < count) {
            throw new IOException("the deployment does not serve");
        }
    }

    static void finish(final ExecutorService clients) {
        clients.shutdown();
        try {
            clients.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- rules

    /** REFUSED: requests that were answered with a promise not to run, and have run. */
    static List<String> refusedAndRun(final Record record) {
        final Set<String> run =
                record.runs().stream().map(Record.Run::id).collect(Collectors.toSet());
        return record.answers().stream()
                .filter(answer -> PROMISES.contains(answer.status()) && run.contains(answer.id()))
                .map(answer -> "REFUSED: " + answer.id() + " got " + answer.status() + " and ran")
                .toList();
    }

    /** TWICE: requests that have run more than once. */
    static List<String> runTwice(final Record record) {
        return record.runs().stream()
                .collect(Collectors.groupingBy(Record.Run::id))
                .values()
                .stream()
                .filter(runs -> runs.size() > 1)
                .map(
                        runs ->
                                "TWICE: "
                                        + runs.get(0).id()
                                        + " ran at "
                                        + runs.stream().map(Record.Run::worker).toList())
                .toList();
    }

    static String configuration(final List<String> services, final List<String> paths) {
        final List<String> entries = new ArrayList<>();
        for (final String service : services) {
            entries.add(
                    "{\"name\":\""
                            + service
                            + "\",\"healthPath\":\"/healthz\",\"maxConnections\":220,"
                            + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
                            + "\"coldPerS\":19}");
        }
        return "{\"version\":7,\"services\":["
                + String.join(",", entries)
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"virtualHosts\":["
                + "{\"host\":\"desk.example\",\"paths\":["
                + String.join(",", paths)
                + "]}]}";
    }

    static String path(
            final String prefix,
            final String type,
            final String service,
            final double timeoutSeconds,
            final double objectiveSeconds) {
        return String.format(
                java.util.Locale.ROOT,
                "{\"name\":\"r-%s\",\"pathPrefix\":\"/%s/\",\"type\":\"%s\",\"timeoutS\":%s,"
                        + "\"targetLatencyS\":%s,\"priority\":1,\"service\":\"%s\",\"attempts\":2}",
                prefix, prefix, type, timeoutSeconds, objectiveSeconds, service);
    }
}
