import java.nio.charset.StandardCharsets;
import java.util.List;

/** Clients send a header that the pages do not name, Idempotency-Key, for the worker to read. */
final class KeyCase {
    private static final int ROUNDS = 5;
    private static final String TENANTS =
            "[{\"name\":\"north\",\"apiKeys\":[\"key-of-north\"],\"priority\":1,\"ratePerS\":50,"
                    + "\"burst\":20},{\"name\":\"south\",\"apiKeys\":[\"key-of-south\"],"
                    + "\"priority\":1,\"ratePerS\":50,\"burst\":20}]";

    private KeyCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, KeyCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        fleet.setTenants(TENANTS);
        fleet.putConfig(
                "[" + Fleet.service("charts") + "," + Fleet.service("bookings") + "]",
                "["
                        + Fleet.host(
                                "clinic.example",
                                Fleet.route("/chart/", "safe", "charts", 1.5, 0.5),
                                Fleet.route("/book/", "unsafe", "bookings", 2, 0.6))
                        + "]");
        fleet.addMachine("side-a-1", "zone-a", "charts");
        fleet.addMachine("side-b-1", "zone-b", "charts");
        fleet.addMachine("side-a-2", "zone-a", "bookings");
        fleet.addMachine("side-b-2", "zone-b", "bookings");
        for (final Fleet.Machine machine : fleet.machines) {
            machine.worker.setJob(
                    run -> {
                        Thread.sleep(20);
                        return 200;
                    });
        }
        fleet.startNodes();
        int foreign = 0;
        int neverRan = 0;
        for (int i = 0; i < ROUNDS; i++) {
            for (final String request : List.of("GET /chart/mine", "POST /book/chair-" + i)) {
                for (final String tenant : List.of("north", "south")) {
                    final Fleet.Machine machine =
                            fleet.machines.get((i + foreign) % fleet.machines.size());
                    final String id = Client.newId();
                    final Client.Answer answer = send(machine, request, tenant, id, trouble, i);
                    final String text = new String(answer.body(), StandardCharsets.ISO_8859_1);
                    final String of = answer.head() == null ? "" : answer.head().header("x-request-id");
                    final boolean hasRun =
                            fleet.machines.stream()
                                    .flatMap(other -> other.worker.runs.stream())
                                    .anyMatch(run -> run.id().equals(id));
                    fleet.note(
                            "client of %s at %s, %s, id %s: %s; X-Request-Id '%s', body '%s'; the"
                                    + " request %s",
                            tenant, machine.name, request, id, answer, of, text,
                            hasRun ? "has run" : "has not run");
                    if (answer.status() / 100 == 2 && !text.endsWith(" to " + id)) {
                        foreign++;
                    }
                    if (answer.status() / 100 == 2 && !hasRun) {
                        neverRan++;
                    }
                }
            }
        }
        fleet.note(
                "%d clients got a success that belongs to another request, here another tenant's;"
                        + " %d got a success although their own request never ran",
                foreign, neverRan);
        return foreign > 0;
    }

    private static Client.Answer send(
            final Fleet.Machine machine,
            final String request,
            final String tenant,
            final String id,
            final boolean trouble,
            final int number) {
        final List<String> headers =
                new java.util.ArrayList<>(Client.headers("clinic.example", id, 2_000));
        headers.add("Authorization: Token key-of-" + tenant);
        if (trouble) {
            // Each tenant's program numbers its own operations.
            headers.add("Idempotency-Key: " + (number + 1));
        }
        final byte[] body = request.startsWith("POST") ? Http.bytes("{\"chair\":1}") : null;
        return Client.call(machine.outbound, request + " HTTP/1.1", headers, body, 3_000);
    }
}
