import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;

/**
 * The machine that took a request from its client freezes for a moment. Meanwhile the node beside
 * the worker that runs the request is killed and started again.
 */
final class SecondRun {
    private static final int ROUNDS = 12;
    private static final int FREEZE_MILLIS = 1_400;
    private static final int RESTART_MILLIS = 100;
    private static final int CALM_MILLIS = 4_000;
    private static final int DESKS = 4;
    private static final int REQUESTS_PER_SECOND = 16;

    private SecondRun() {}

    static List<String> play(final Record record, final boolean trouble) throws IOException {
        final Fleet fleet = new Fleet(record);
        final Fleet.Machine front = fleet.add("front-1", "zone-a", "registry");
        for (int i = 1; i <= DESKS; i++) {
            fleet.add("desk-" + i, "zone-" + "abc".charAt(i % 3), "desk");
        }
        fleet.add("front-2", "zone-b", "registry");
        fleet.start(
                Cases.configuration(
                        List.of("desk", "registry"),
                        List.of(Cases.path("session", "unsafe", "desk", 2, 0.6))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 300, 1);
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 4_000);
        Cases.warmUp(client, "/session/warm", 20);
        final ExecutorService clients = Cases.clients();
        final Random random = new Random(1);
        final boolean[] done = new boolean[1];
        clients.execute(
                () -> {
                    for (int count = 1; !done[0]; count++) {
                        final String id = "s" + count;
                        clients.execute(
                                () -> client.send(id, "DELETE", "/session/" + id, new byte[0]));
                        Cases.sleep(1_000 / REQUESTS_PER_SECOND);
                    }
                });
        for (int round = 0; round < ROUNDS; round++) {
            Cases.sleep(CALM_MILLIS + random.nextInt(200));
            if (trouble) {
                final Fleet.Machine desk = fleet.machines().get(1 + round % DESKS);
                fleet.freeze(front);
                fleet.kill(desk);
                Cases.sleep(RESTART_MILLIS);
                fleet.startNode(desk);
                Cases.sleep(FREEZE_MILLIS - RESTART_MILLIS);
                fleet.wake(front);
            }
        }
        done[0] = true;
        Cases.sleep(100);
        Cases.finish(clients);
        return Cases.runTwice(record);
    }
}
