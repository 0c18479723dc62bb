import java.util.ArrayList;
import java.util.List;

/** The store turns a third of the machines away, among them those that watch the configuration. */
final class WatchCase {
    private static final double BOUND_SECONDS = 2 + 5;
    private static final double DOWN_SECONDS = 9;
    private static final int TURNED_AWAY = 4;

    private WatchCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, WatchCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        final String services = "[" + Fleet.service("old") + "," + Fleet.service("new") + "]";
        fleet.putConfig(services, hosts("old"));
        for (int i = 0; i < 12; i++) {
            final Fleet.Machine machine =
                    fleet.addMachine(
                            "side-" + "abc".charAt(i % 3) + "-" + (i / 3 + 1),
                            "zone-" + "abc".charAt(i % 3),
                            i % 2 == 0 ? "old" : "new");
            machine.worker.setJob(
                    run -> {
                        Thread.sleep(20);
                        return 200;
                    });
        }
        fleet.startNodes();
        final List<Fleet.Machine> away = new ArrayList<>();
        for (final Fleet.Machine machine : fleet.machines) {
            if (machine.storeProxy.isWatched()) {
                away.add(machine);
            }
        }
        for (final Fleet.Machine machine : fleet.machines) {
            if (away.size() < TURNED_AWAY && !away.contains(machine)) {
                away.add(machine);
            }
        }
        if (trouble) {
            for (final Fleet.Machine machine : away) {
                fleet.note("the store turns %s away with 503", machine.name);
                machine.storeProxy.setBusy(true);
            }
        }
        final double downSeconds = fleet.seconds();
        Thread.sleep(200);
        fleet.putConfig(services, hosts("new"));
        final double acknowledged = fleet.seconds();
        int late = 0;
        int judged = 0;
        while (fleet.seconds() < downSeconds + DOWN_SECONDS) {
            for (final Fleet.Machine machine : fleet.machines) {
                if (away.contains(machine)) {
                    continue;
                }
                final String id = Client.newId();
                final double sent = fleet.seconds();
                final Client.Answer answer =
                        Client.call(
                                machine.outbound,
                                "GET /read/1 HTTP/1.1",
                                Client.headers("shop.example", id, 2_000),
                                null,
                                3_000);
                final boolean isOld = fleet.hasRunAt("old", id);
                final double age = sent - acknowledged;
                fleet.note(
                        "client at %s, id %s, %.3f s after the acknowledgement, run by the %s"
                                + " service: %s",
                        machine.name, id, age, isOld ? "old" : "new", answer);
                if (age > BOUND_SECONDS) {
                    judged++;
                    late += isOld ? 1 : 0;
                }
            }
            Thread.sleep(100);
        }
        away.forEach(machine -> machine.storeProxy.setBusy(false));
        fleet.note(
                "%d of %d requests sent later than %.0f s after the acknowledgement, at"
                        + " machines that the store served all the time, were run as only the"
                        + " older version allows",
                late, judged, BOUND_SECONDS);
        return late > 0;
    }

    private static String hosts(final String service) {
        return "["
                + Fleet.host("shop.example", Fleet.route("/read/", "safe", service, 1.5, 0.5))
                + "]";
    }
}
