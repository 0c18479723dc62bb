import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A client names Content-Length as a field of the connection and sends a body that is itself a
 * request. No case of the review, since no page names such a client.
 */
final class Smuggled {
    private Smuggled() {}

    static List<String> play(final Record record, final boolean trouble) throws IOException {
        final Fleet fleet = new Fleet(record);
        final Fleet.Machine front = fleet.add("front-1", "zone-a", "registry");
        fleet.add("desk-1", "zone-a", "desk");
        fleet.start(
                Cases.configuration(
                        List.of("desk", "registry"),
                        List.of(Cases.path("certify", "unsafe", "desk", 0.6, 0.25))));
        for (final Fleet.Machine machine : fleet.machines()) {
            fleet.startWorker(machine, machine.control(), 20, 1);
        }
        final Client client = new Client(record, front.outbound(), "desk.example", 600);
        Cases.warmUp(client, "/certify/warm", 20);
        final String inner =
                "POST /other/ HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: inner\r\n"
                        + "X-Caller-Service: other\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(front.outbound(), 1_000);
            socket.setSoTimeout(2_000);
            record.log("SEND     outer, its body is the request inner");
            Http.write(
                    socket.getOutputStream(),
                    "POST /certify/outer HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: outer\r\n"
                            + "Connection: keep-alive"
                            + (trouble ? ", Content-Length" : "")
                            + "\r\nContent-Length: "
                            + inner.length()
                            + "\r\n\r\n",
                    inner.getBytes(StandardCharsets.ISO_8859_1));
            record.answer("outer", Http.read(socket.getInputStream()).status(), true, "");
        }
        Cases.sleep(500);
        return record.runs().stream()
                .filter(run -> run.id().equals("inner"))
                .map(run -> "UNASKED: inner ran at " + run.worker() + ", caller " + run.caller())
                .toList();
    }
}
