package io.bilberrylane.node;

import java.util.Locale;
import java.util.Optional;

/**
 * What a caller that closes its connection after one exchange has received.
 *
 * @param status the status; 0 if no whole head came
 * @param head the status line and the header fields
 * @param body the body, without chunk framing
 * @param isComplete whether the body is complete by its own framing
 */
record CallerAnswer(int status, String head, String body, boolean isComplete) {
    private static final String END_OF_HEAD = "\r\n\r\n";

    /**
     * Reads an answer.
     *
     * @param text everything that came, without informational responses
     * @param method the method of the request
     * @param wasReset whether the connection was reset
     */
    static CallerAnswer of(final String text, final String method, final boolean wasReset) {
        final int headLength = text.indexOf(END_OF_HEAD);
        if (headLength < 0) {
            return new CallerAnswer(0, text, "", false);
        }
        final String head = text.substring(0, headLength + END_OF_HEAD.length());
        final String rest = text.substring(head.length());
        final int status = Integer.parseInt(head.substring(9, 12));
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return new CallerAnswer(status, head, rest, rest.isEmpty());
        }
        if (field(head, "transfer-encoding").isPresent()) {
            return chunked(status, head, rest);
        }
        final Optional<String> length = field(head, "content-length");
        final boolean isComplete =
                length.map(value -> Integer.parseInt(value) == rest.length()).orElse(!wasReset);
        return new CallerAnswer(status, head, rest, isComplete);
    }

    private static CallerAnswer chunked(final int status, final String head, final String rest) {
        final StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            final int endOfSize = rest.indexOf("\r\n", at);
            if (endOfSize < 0) {
                return new CallerAnswer(status, head, body.toString(), false);
            }
            final int size = Integer.parseInt(rest.substring(at, endOfSize), 16);
            at = endOfSize + 2;
            if (at + size + 2 > rest.length()) {
                return new CallerAnswer(status, head, body.toString(), false);
            }
            body.append(rest, at, at + size);
            at += size + 2;
            if (size == 0) {
                return new CallerAnswer(status, head, body.toString(), at == rest.length());
            }
        }
    }

    Optional<String> field(final String name) {
        return field(head, name);
    }

    private static Optional<String> field(final String head, final String name) {
        for (final String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return Optional.of(line.substring(name.length() + 1).trim());
            }
        }
        return Optional.empty();
    }
}
