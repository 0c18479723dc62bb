import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. Header names are in lower case. */
final class Http {
    private Http() {}

    /** The head of a message; the first line is a request line or a status line. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(final String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        boolean isClose() {
            return header("connection").equalsIgnoreCase("close");
        }
    }

    /** Returns the next head; null if the connection ends before its first byte. */
    static Head readHead(final InputStream in) throws IOException {
        final String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        final Map<String, String> headers = new LinkedHashMap<>();
        String line = readLine(in, false);
        while (!line.isEmpty()) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(),
                    line.substring(colon + 1).trim());
            line = readLine(in, false);
        }
        return new Head(first, headers);
    }

    private static String readLine(final InputStream in, final boolean mayEnd) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0 && mayEnd) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ends within a head");
            }
            line.write(next);
            next = in.read();
        }
        final String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a body with a length, in chunks, or none. */
    static byte[] readBody(final InputStream in, final Head head) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                final int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                readLine(in, false);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        final String length = head.header("content-length");
        return readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private static byte[] readExactly(final InputStream in, final int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ends within a body");
        }
        return bytes;
    }

    static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
