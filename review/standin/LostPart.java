import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/**
 * Clients upload in chunks and take a moment before the first one. Meanwhile one node is killed and
 * another one freezes.
 */
final class LostPart {
    private static final int ROUNDS = 26;
    private static final int FREEZE_MILLIS = 1_000;
    private static final int RESTART_MILLIS = 100;
    private static final int CALM_MILLIS = 2_300;
    private static final int UPLOADS_PER_SECOND = 17;
    private static final int PARTS = 5;
    private static final int LOCAL_ARCHIVES = 3;

    private LostPart() {}

    static List<String> play(final Record record, final boolean trouble) throws IOException {
        final Fleet fleet = new Fleet(record);
        final Fleet.Machine front = fleet.add("front-1", "zone-a", "registry");
        for (int i = 1; i <= LOCAL_ARCHIVES; i++) {
            fleet.add("archive-" + i, "zone-a", "archive");
        }
        fleet.add("archive-4", "zone-b", "archive");
        fleet.add("front-2", "zone-b", "registry");
        fleet.add("front-3", "zone-c", "registry");
        fleet.start(
                Cases.configuration(
                        List.of("archive", "registry"),
                        List.of(Cases.path("upload", "upload", "archive", 4, 0.6))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 72, 1);
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 4_000);
        Cases.warmUp(client, "/upload/warm", 20);
        final ExecutorService clients = Cases.clients();
        final Random random = new Random(1);
        final Map<String, String> sent = new ConcurrentHashMap<>();
        final boolean[] done = new boolean[1];
        clients.execute(
                () -> {
                    final Random bodies = new Random(2);
                    for (int count = 1; !done[0]; count++) {
                        final String id = "u" + count;
                        final List<byte[]> parts = parts(bodies);
                        final long pauseMillis = 100 + bodies.nextInt(300);
                        sent.put(id, nameOf(parts));
                        clients.execute(
                                () -> client.upload(id, "/upload/" + id, parts, pauseMillis, 40));
                        Cases.sleep(1_000 / UPLOADS_PER_SECOND);
                    }
                });
        for (int round = 0; round < ROUNDS; round++) {
            Cases.sleep(CALM_MILLIS + random.nextInt(200));
            if (trouble) {
                final Fleet.Machine killed = fleet.machines().get(1 + round % LOCAL_ARCHIVES);
                final Fleet.Machine frozen = fleet.machines().get(1 + (round + 1) % LOCAL_ARCHIVES);
                fleet.freeze(frozen);
                fleet.kill(killed);
                Cases.sleep(RESTART_MILLIS);
                fleet.startNode(killed);
                Cases.sleep(FREEZE_MILLIS - RESTART_MILLIS);
                fleet.wake(frozen);
            }
        }
        done[0] = true;
        Cases.sleep(100);
        Cases.finish(clients);
        return record.runs().stream()
                .filter(run -> sent.containsKey(run.id()))
                .filter(run -> !run.body().equals(sent.get(run.id())))
                .map(
                        run ->
                                "UNASKED: "
                                        + run.id()
                                        + " ran at "
                                        + run.worker()
                                        + " with body "
                                        + run.body()
                                        + " instead of "
                                        + sent.get(run.id()))
                .toList();
    }

    private static List<byte[]> parts(final Random random) {
        final List<byte[]> parts = new ArrayList<>();
        for (int i = 0; i < PARTS; i++) {
            final byte[] part = new byte[4_000];
            random.nextBytes(part);
            parts.add(part);
        }
        return parts;
    }

    private static String nameOf(final List<byte[]> parts) {
        final byte[] whole = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int offset = 0;
        for (final byte[] part : parts) {
            System.arraycopy(part, 0, whole, offset, part.length);
            offset += part.length;
        }
        return Http.nameOf(whole);
    }
}
