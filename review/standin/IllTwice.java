import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;

/**
 * A worker says on its health path that it is ill, though it serves, and some of its answers come a
 * second time a little later.
 */
final class IllTwice {
    private static final double SECOND_ANSWERS = 0.03;
    private static final int WINDOW_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 400;
    private static final int WINDOWS = 17;
    private static final int DESKS = 4;

    private IllTwice() {}

    static List<String> play(final Record record, final boolean trouble) throws IOException {
        final Fleet fleet = new Fleet(record);
        final Fleet.Machine front = fleet.add("front-1", "zone-a", "registry");
        for (int i = 1; i <= DESKS; i++) {
            fleet.add("desk-" + i, "zone-" + "abc".charAt(i % 3), "desk");
        }
        for (int i = 2; i <= 3; i++) {
            fleet.add("front-" + i, "zone-" + "abc".charAt(i % 3), "registry");
        }
        fleet.start(
                Cases.configuration(
                        List.of("desk", "registry"),
                        List.of(Cases.path("certify", "unsafe", "desk", 0.6, 0.25))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 78, machine.name.hashCode());
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 600);
        Cases.warmUp(client, "/certify/warm", 20);
        record.log("CALM     traffic starts");
        final ExecutorService clients = Cases.clients();
        final Random random = new Random(1);
        int count = 0;
        for (int window = 0; window < WINDOWS; window++) {
            final Worker ill = fleet.machines().get(1 + window % DESKS).worker;
            if (trouble) {
                record.log("TROUBLE  %s says that it is ill and answers twice at times", ill.id());
                ill.mSaysIll = true;
                ill.mSecondAnswers = SECOND_ANSWERS;
            }
            final long endMillis = record.millis() + WINDOW_MILLIS;
            while (record.millis() < endMillis) {
                final String id = "c" + ++count;
                final byte[] body = new byte[1_000 + random.nextInt(6_000)];
                random.nextBytes(body);
                clients.execute(() -> client.send(id, "POST", "/certify/" + id, body));
                Cases.sleep(Math.round(-Math.log(1 - random.nextDouble()) * 25));
            }
            ill.mSaysIll = false;
            ill.mSecondAnswers = 0;
            record.log("CALM     %s is as ever", ill.id());
            Cases.sleep(PAUSE_MILLIS);
        }
        Cases.finish(clients);
        return Cases.refusedAndRun(record);
    }
}
