import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests that no route allows: to hosts that bear a service's name, on routes that were removed or
 * never existed, and with a header that the pages do not name.
 */
final class RouteCase {
    private static final double CONFIG_APPLY_SECONDS = 2;
    private static final int REQUESTS = 10;

    private RouteCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, RouteCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        final String services =
                "[" + Fleet.service("catalog") + "," + Fleet.service("booking") + "]";
        final String read = Fleet.route("/read/", "safe", "catalog", 1.5, 0.5);
        final String info = Fleet.route("/info/", "safe", "booking", 1.5, 0.5);
        final String book = Fleet.route("/book/", "unsafe", "booking", 2, 0.6);
        fleet.putConfig(
                services,
                "["
                        + Fleet.host("shop.example", read)
                        + ","
                        + Fleet.host("booking", info, book)
                        + "]");
        fleet.addMachine("side-a-1", "zone-a", "catalog");
        fleet.addMachine("side-b-1", "zone-b", "catalog");
        fleet.addMachine("side-c-1", "zone-c", "catalog");
        fleet.addMachine("side-a-2", "zone-a", "booking");
        fleet.addMachine("side-b-2", "zone-b", "booking");
        fleet.addMachine("side-c-2", "zone-c", "booking");
        // A few failures, which the pages allow to a worker at any time.
        for (final Fleet.Machine machine : fleet.machines) {
            machine.worker.setJob(
                    run -> {
                        Thread.sleep(20);
                        return run.head().target().endsWith("/fails") ? 500 : 200;
                    });
        }
        fleet.startNodes();
        send(fleet, "GET", "shop.example", "/read/1");
        send(fleet, "GET", "booking", "/info/1");
        send(fleet, "POST", "booking", "/book/1");
        send(fleet, "GET", "nowhere.example", "/read/1");
        if (!trouble) {
            return false;
        }
        fleet.putConfig(
                services,
                "["
                        + Fleet.host("shop.example", read)
                        + ","
                        + Fleet.host("booking", info)
                        + "]");
        fleet.note("the route /book/ of host booking is removed");
        Thread.sleep((long) ((CONFIG_APPLY_SECONDS + 2) * 1_000));
        final List<String> removed = new ArrayList<>();
        final List<String> neverThere = new ArrayList<>();
        final List<String> withHeader = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            removed.add(send(fleet, "POST", "booking", "/book/" + i));
            neverThere.add(send(fleet, "DELETE", "catalog", "/never/" + i));
            neverThere.add(send(fleet, "GET", "catalog", "/never/" + i + "/fails"));
            withHeader.add(
                    send(fleet, "GET", "shop.example", "/read/" + i, "Bilberrylane-Service: booking"));
        }
        final Map<String, Integer> runs = new TreeMap<>();
        fleet.machines.forEach(
                machine ->
                        machine.worker.runs.forEach(run -> runs.merge(run.id(), 1, Integer::sum)));
        final long removedRan = removed.stream().filter(runs::containsKey).count();
        final long neverRan = neverThere.stream().filter(runs::containsKey).count();
        final long wrongService =
                withHeader.stream().filter(id -> fleet.hasRunAt("booking", id)).count();
        final long twice =
                neverThere.stream().filter(id -> runs.getOrDefault(id, 0) > 1).count();
        fleet.note(
                "ROUTE: %d of %d requests that no configuration ever allowed were run by a"
                        + " service",
                neverRan, neverThere.size());
        fleet.note(
                "CONFIG: %d of %d requests sent 4 s after the removal of their route were run",
                removedRan, removed.size());
        fleet.note(
                "ROUTE: %d of %d requests on a route of service catalog were run by service booking,"
                        + " because of a header",
                wrongService, withHeader.size());
        fleet.note("TWICE: %d requests without a safe route ran more than once", twice);
        return neverRan + wrongService > 0;
    }

    private static int sNext;

    private static String send(
            final Fleet fleet,
            final String method,
            final String host,
            final String path,
            final String... moreHeaders) {
        final Fleet.Machine machine = fleet.machines.get(sNext++ % fleet.machines.size());
        final String id = Client.newId();
        final List<String> headers = new ArrayList<>(Client.headers(host, id, 2_000));
        headers.addAll(List.of(moreHeaders));
        final Client.Answer answer =
                Client.call(
                        machine.outbound,
                        method + " " + path + " HTTP/1.1",
                        headers,
                        method.equals("POST") ? new byte[2_000] : null,
                        3_000);
        fleet.note("client at %s, %s %s%s, id %s: %s", machine.name, method, host, path, id, answer);
        return id;
    }
}
