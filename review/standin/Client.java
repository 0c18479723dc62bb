import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A client on one machine: sends a request on a new connection and records the answer. */
final class Client {
    private final Record mRecord;
    private final InetSocketAddress mNode;
    private final String mHost;
    private final int mDeadlineMillis;

    Client(
            final Record record,
            final InetSocketAddress node,
            final String host,
            final int deadlineMillis) {
        mRecord = record;
        mNode = node;
        mHost = host;
        mDeadlineMillis = deadlineMillis;
    }

    /** Sends a request whose body has a length. */
    int send(final String id, final String method, final String path, final byte[] body) {
        return exchange(
                id,
                method,
                path,
                "Content-Length: " + body.length,
                out -> {
                    if (body.length > 0) {
                        out.write(body);
                        out.flush();
                    }
                });
    }

    /** Sends an upload in chunks, with a pause before each. */
    int upload(
            final String id,
            final String path,
            final List<byte[]> parts,
            final long firstPauseMillis,
            final long pauseMillis) {
        return exchange(
                id,
                "POST",
                path,
                "Transfer-Encoding: chunked",
                out -> {
                    long pause = firstPauseMillis;
                    for (final byte[] part : parts) {
                        Cases.sleep(pause);
                        pause = pauseMillis;
                        Http.write(out, Integer.toHexString(part.length) + "\r\n", part);
                        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                        out.flush();
                    }
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                });
    }

    private interface BodyWriter {
        void write(OutputStream out) throws IOException;
    }

    private int exchange(
            final String id,
            final String method,
            final String path,
            final String framing,
            final BodyWriter bodyWriter) {
        int status = 0;
        boolean signed = false;
        String body = "";
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(mNode, 1_000);
            socket.setSoTimeout(mDeadlineMillis);
            mRecord.log("SEND     %s %s %s", id, method, path);
            Http.write(
                    socket.getOutputStream(),
                    String.format(
                            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                                    + "X-Request-Deadline-Ms: %d\r\n%s\r\n\r\n",
                            method, path, mHost, id, mDeadlineMillis, framing),
                    new byte[0]);
            bodyWriter.write(socket.getOutputStream());
            final Http.Message answer = Http.read(socket.getInputStream());
            if (answer != null) {
                status = answer.status();
                body = Http.nameOf(answer.body());
                signed = !answer.header("X-Response-Signature").isEmpty();
            }
        } catch (IOException e) {
            mRecord.log("CLIENT   %s: %s", id, e);
        }
        mRecord.answer(id, status, signed, body);
        return status;
    }
}
