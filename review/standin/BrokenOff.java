import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;

/**
 * Workers answer some uploads before they have read them, without a length, and break such an
 * answer off with a reset.
 */
final class BrokenOff {
    private static final double BROKEN_OFF = 0.05;
    private static final int WINDOW_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 400;
    private static final int WINDOWS = 14;
    private static final int UPLOADS_PER_SECOND = 10;
    private static final int ARCHIVES = 4;
    private static final int FAULTY = 2;
    private static final int MIN_BYTES = 200_000;
    private static final int MAX_BYTES = 360_000;

    private BrokenOff() {}

    static List<String> play(final Record record, final boolean trouble) throws IOException {
        final Fleet fleet = new Fleet(record);
        final Fleet.Machine front = fleet.add("front-1", "zone-a", "registry");
        for (int i = 1; i <= ARCHIVES; i++) {
            fleet.add("archive-" + i, "zone-a", "archive");
        }
        fleet.add("front-2", "zone-b", "registry");
        fleet.start(
                Cases.configuration(
                        List.of("archive", "registry"),
                        List.of(Cases.path("upload", "upload", "archive", 4, 0.6))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 72, machine.name.hashCode());
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 4_000);
        Cases.warmUp(client, "/upload/warm", 20);
        final ExecutorService clients = Cases.clients();
        final Random random = new Random(1);
        int count = 0;
        for (int window = 0; window < WINDOWS; window++) {
            for (int i = 1; i <= FAULTY; i++) {
                fleet.machines().get(i).worker.mBrokenOff = trouble ? BROKEN_OFF : 0;
            }
            record.log("%s", trouble ? "TROUBLE  answers are broken off" : "CALM");
            final long endMillis = record.millis() + WINDOW_MILLIS;
            while (record.millis() < endMillis) {
                final String id = "u" + ++count;
                final byte[] body =
                        new byte[MIN_BYTES + random.nextInt(MAX_BYTES - MIN_BYTES)];
                clients.execute(() -> client.send(id, "POST", "/upload/" + id, body));
                Cases.sleep(1_000 / UPLOADS_PER_SECOND);
            }
            for (int i = 1; i <= FAULTY; i++) {
                fleet.machines().get(i).worker.mBrokenOff = 0;
            }
            record.log("CALM     answers are whole");
            Cases.sleep(PAUSE_MILLIS);
        }
        Cases.finish(clients);
        return record.answers().stream()
                .filter(answer -> answer.status() / 100 == 2)
                .filter(answer -> !answer.body().equals(Http.nameOf(Worker.bodyOf(answer.id()))))
                .map(
                        answer ->
                                "MIXED: "
                                        + answer.id()
                                        + " got "
                                        + answer.status()
                                        + " with body "
                                        + answer.body()
                                        + " instead of "
                                        + Http.nameOf(Worker.bodyOf(answer.id())))
                .toList();
    }
}
