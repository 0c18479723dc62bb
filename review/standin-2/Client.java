import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Sends requests, each on a new connection, as clients of a machine do. */
final class Client {
    private Client() {}

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, Http.Head head, byte[] body, String failure) {
        @Override
        public String toString() {
            return status == 0
                    ? "no answer (" + failure + ")"
                    : status
                            + ", error '"
                            + head.header("bilberrylane-error")
                            + "', signature '"
                            + head.header("x-response-signature")
                            + "', "
                            + body.length
                            + " bytes";
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static Answer call(
            final int port,
            final String requestLine,
            final List<String> headers,
            final byte[] body,
            final int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            final Thread writer =
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        try {
                                            write(socket, requestLine, headers, body);
                                        } catch (IOException e) {
                                            // The answer, or its absence, tells what happened.
                                        }
                                    });
            final Http.Head head = Http.readHead(socket.getInputStream());
            if (head == null) {
                return new Answer(0, null, new byte[0], "closed");
            }
            final byte[] bytes = Http.readBody(socket.getInputStream(), head);
            writer.interrupt();
            return new Answer(head.status(), head, bytes, "");
        } catch (IOException e) {
            return new Answer(0, null, new byte[0], e.toString());
        }
    }

    /** What arrived of an answer with a length; the head is null if there was none. */
    record Partial(Http.Head head, byte[] body) {}

    /** Sends a request without a body and returns what arrives of the answer. */
    static Partial callPartial(
            final int port,
            final String requestLine,
            final List<String> headers,
            final int timeoutMillis) {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        Http.Head head = null;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            write(socket, requestLine, headers, null);
            head = Http.readHead(socket.getInputStream());
            int left = head == null ? 0 : Integer.parseInt(head.header("content-length"));
            final byte[] bytes = new byte[16_384];
            while (left > 0) {
                final int length =
                        socket.getInputStream().read(bytes, 0, Math.min(left, bytes.length));
                if (length < 0) {
                    break;
                }
                body.write(bytes, 0, length);
                left -= length;
            }
        } catch (IOException e) {
            // What has arrived is returned.
        }
        return new Partial(head, body.toByteArray());
    }

    static void write(
            final Socket socket,
            final String requestLine,
            final List<String> headers,
            final byte[] body)
            throws IOException {
        final StringBuilder head = new StringBuilder(requestLine).append("\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        final OutputStream out = socket.getOutputStream();
        final byte[] headBytes = Http.bytes(head.toString());
        if (body == null || body.length > 65_536) {
            out.write(headBytes);
            if (body != null) {
                out.write(body);
            }
        } else {
            final byte[] all = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            out.write(all);
        }
        out.flush();
    }

    /** Returns the headers of a client's request. */
    static List<String> headers(final String host, final String id, final long deadlineMillis) {
        return List.of(
                "Host: " + host,
                "X-Request-Id: " + id,
                "X-Request-Deadline-Ms: " + deadlineMillis);
    }
}
