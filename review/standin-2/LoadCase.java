import java.util.concurrent.atomic.AtomicInteger;

/** The workers of one of two services do not tell their load. */
final class LoadCase {
    private static final int ROUNDS = 6;

    private LoadCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, LoadCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        final String services =
                "[" + Fleet.service("telling") + "," + Fleet.service("silent") + "]";
        final String first = Fleet.route("/telling/", "safe", "telling", 1.5, 0.5);
        final String added = Fleet.route("/silent/", "safe", "silent", 1.5, 0.5);
        fleet.putConfig(services, "[" + Fleet.host("shop.example", first) + "]");
        for (int i = 0; i < 6; i++) {
            final Fleet.Machine machine =
                    fleet.addMachine(
                            "side-" + "abc".charAt(i % 3) + "-" + (i / 3 + 1),
                            "zone-" + "abc".charAt(i % 3),
                            i % 2 == 0 ? "telling" : "silent");
            machine.worker.setTellsLoad(!trouble || machine.service.equals("telling"));
            machine.worker.setJob(
                    run -> {
                        Thread.sleep(20);
                        return 200;
                    });
        }
        fleet.startNodes();
        fleet.putConfig(services, "[" + Fleet.host("shop.example", first, added) + "]");
        fleet.note("the route /silent/ is added");
        Thread.sleep(4_000);
        final AtomicInteger toTelling = new AtomicInteger();
        final AtomicInteger toSilent = new AtomicInteger();
        for (int i = 0; i < ROUNDS; i++) {
            for (final Fleet.Machine machine : fleet.machines) {
                toTelling.addAndGet(send(fleet, machine, "/telling/"));
                toSilent.addAndGet(send(fleet, machine, "/silent/"));
            }
            Thread.sleep(50);
        }
        final int sent = ROUNDS * fleet.machines.size();
        final double least = toTelling.get() / (4.0 * sent);
        fleet.note(
                "served: %d of %d requests on the first route, whose workers tell their load,"
                        + " and %d of %d on the added one, whose workers do not; the rule asks"
                        + " for a share of %.3f",
                toTelling.get(), sent, toSilent.get(), sent, least);
        return toSilent.get() / (double) sent < least;
    }

    private static int send(final Fleet fleet, final Fleet.Machine machine, final String path) {
        final String id = Client.newId();
        final Client.Answer answer =
                Client.call(
                        machine.outbound,
                        "GET " + path + "1 HTTP/1.1",
                        Client.headers("shop.example", id, 2_000),
                        null,
                        3_000);
        fleet.note("client at %s, %s, id %s: %s", machine.name, path, id, answer);
        return answer.status() == 200 ? 1 : 0;
    }
}
