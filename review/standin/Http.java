import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 reader and client for the stand-ins. */
final class Http {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** A request or a response; {@code first} is its first line. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(final String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private Http() {}

    /** Reads a whole message; null if the connection ends before its first byte. */
    static Message read(final InputStream in) throws IOException {
        final Message head = readHeadOnly(in);
        return head == null ? null : withBody(head, in);
    }

    /** Reads the head of a message, not its body; null if the connection ends before it. */
    static Message readHeadOnly(final InputStream in) throws IOException {
        final String head = readHead(in);
        if (head == null) {
            return null;
        }
        final String[] lines = head.split("\r\n");
        final Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            final int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers, new byte[0]);
    }

    /** Reads the body that follows a head. */
    static Message withBody(final Message head, final InputStream in) throws IOException {
        final boolean chunked = head.header("Transfer-Encoding").equalsIgnoreCase("chunked");
        final String length = head.header("Content-Length");
        final byte[] body =
                chunked
                        ? readChunks(in)
                        : readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Message(head.first(), head.headers(), body);
    }

    private static String readHead(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while (true) {
            final int value = in.read();
            if (value < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            head.write(value);
            last = last << 8 | value;
            if (last == 0x0d0a0d0a) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
            if (head.size() > MAX_HEAD_BYTES) {
                throw new IOException("head too long");
            }
        }
    }

    private static byte[] readChunks(final InputStream in) throws IOException {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            final int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            body.write(readExactly(in, size));
            if (!readLine(in).isEmpty()) {
                throw new IOException("chunk without an end");
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = in.read(); value != '\n'; value = in.read()) {
            if (value < 0) {
                throw new EOFException("end within a line");
            }
            if (value != '\r') {
                line.write(value);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readExactly(final InputStream in, final int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    static void write(final OutputStream out, final String head, final byte[] body)
            throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Sends one request on a connection of its own and returns the answer. */
    static Message call(
            final InetSocketAddress address,
            final String method,
            final String path,
            final String body,
            final int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(timeoutMillis);
            socket.connect(address, timeoutMillis);
            final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write(
                    socket.getOutputStream(),
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                            + "Content-Length: "
                            + bytes.length
                            + "\r\nConnection: close\r\n\r\n",
                    bytes);
            final Message answer = read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("no answer");
            }
            return answer;
        }
    }

    /** Returns a short name of a body: its length and the start of its hash. */
    static String nameOf(final byte[] body) {
        try {
            final byte[] hash = MessageDigest.getInstance("SHA-256").digest(body);
            return body.length + ":" + HexFormat.of().formatHex(hash, 0, 4);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
