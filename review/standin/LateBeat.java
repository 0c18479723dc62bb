import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;

/**
 * A worker says that it leaves, which is acknowledged. The node beside it is killed and started
 * again, and a heartbeat that the worker sent before arrives late.
 */
final class LateBeat {
    private static final int DESKS = 4;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int RESTART_MILLIS = 100;
    private static final int BEAT_LATE_MILLIS = 5_000;
    private static final int SERVES_ON_MILLIS = 8_000;

    private LateBeat() {}

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
                        List.of(Cases.path("certify", "unsafe", "desk", 0.6, 0.25))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 78, 1);
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 600);
        Cases.warmUp(client, "/certify/warm", 20);
        final ExecutorService clients = Cases.clients();
        final boolean[] done = new boolean[1];
        clients.execute(
                () -> {
                    for (int count = 1; !done[0]; count++) {
                        final String id = "c" + count;
                        clients.execute(
                                () -> client.send(id, "POST", "/certify/" + id, new byte[4_000]));
                        Cases.sleep(1_000 / REQUESTS_PER_SECOND);
                    }
                });
        Cases.sleep(4_000);
        final Fleet.Machine desk = fleet.machines().get(3);
        final Worker worker = desk.worker;
        final String beat = worker.heartbeat();
        final long beatMillis = record.millis();
        record.log("BEAT     %s sends a heartbeat, which is held up: %s", worker.id(), beat);
        Cases.sleep(300);
        if (!worker.leave()) {
            throw new IOException("the leave was not acknowledged");
        }
        final long ackMillis = record.millis();
        record.log("LEAVE    of %s is acknowledged", worker.id());
        Cases.sleep(200);
        if (trouble) {
            fleet.kill(desk);
            Cases.sleep(RESTART_MILLIS);
            fleet.startNode(desk);
        }
        Cases.sleep(beatMillis + BEAT_LATE_MILLIS - record.millis());
        record.log("BEAT     the held-up heartbeat arrives: %s", worker.sendBeat(beat));
        Cases.sleep(ackMillis + SERVES_ON_MILLIS - record.millis());
        record.log("EXIT     of %s", worker.id());
        worker.close();
        Cases.sleep(1_000);
        done[0] = true;
        Cases.sleep(100);
        Cases.finish(clients);
        return record.runs().stream()
                .filter(run -> run.worker().equals(desk.name))
                .filter(run -> run.millis() > ackMillis + DRAIN_MILLIS)
                .map(
                        run ->
                                "DRAIN: "
                                        + run.id()
                                        + " reached "
                                        + run.worker()
                                        + " "
                                        + (run.millis() - ackMillis)
                                        + " ms after the acknowledgement")
                .toList();
    }
}
