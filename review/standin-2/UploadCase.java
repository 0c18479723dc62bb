
/** Uploads that are within the configuration's maxBodyBytes. */
final class UploadCase {
    private static final int MEGABYTE = 1 << 20;
    private static final int UPLOADS = 12;

    private UploadCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, UploadCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        final int large = trouble ? 20 * MEGABYTE : MEGABYTE;
        fleet.putConfig(
                "[" + Fleet.service("files") + "," + Fleet.service("catalog") + "]",
                "["
                        + Fleet.host(
                                "shop.example",
                                Fleet.route("/upload/", "upload", "files", 8, 2),
                                Fleet.route("/read/", "safe", "catalog", 1.5, 0.5))
                        + "]");
        fleet.addMachine("side-a-1", "zone-a", "files");
        fleet.addMachine("side-b-1", "zone-b", "files");
        fleet.addMachine("side-c-1", "zone-c", "files");
        fleet.addMachine("side-a-2", "zone-a", "catalog");
        fleet.startNodes();
        int sent = 0;
        int denied = 0;
        for (int i = 0; i < UPLOADS; i++) {
            for (final int size : new int[] {MEGABYTE, large}) {
                final Fleet.Machine machine = fleet.machines.get(sent % fleet.machines.size());
                final String id = Client.newId();
                final Client.Answer answer =
                        Client.call(
                                machine.outbound,
                                "POST /upload/" + i + " HTTP/1.1",
                                Client.headers("shop.example", id, 7_000),
                                new byte[size],
                                9_000);
                fleet.note(
                        "client at %s, upload of %d bytes, id %s: %s",
                        machine.name, size, id, answer);
                sent++;
                final boolean isOwn4xx =
                        answer.status() / 100 == 4
                                && answer.status() != 408
                                && answer.status() != 421
                                && answer.status() != 429
                                && answer.head().header("x-response-signature").isEmpty();
                denied += isOwn4xx ? 1 : 0;
            }
        }
        final double allowed = 5 + sent / 500.0;
        fleet.note(
                "%d of %d proper uploads were ended with a 4xx of the system's own; the rule"
                        + " allows %.1f; maxBodyBytes is 67108864",
                denied, sent, allowed);
        return denied > allowed;
    }
}
