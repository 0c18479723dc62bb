package io.bilberrylane.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects a head that was read from the beginning of one response and the whole head of another.
 * Its status is that of the first and its fields are those of the second, so it answers no request.
 */
final class JoinedHeads {
    private static final String PROTOCOL = "HTTP/1.";
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[0-9]\\s+[1-5][0-9]{2}(?=\\s|$)");

    private JoinedHeads() {}

    /**
     * Returns whether the reason phrase holds the status line of another response.
     *
     * @param response the head of a response
     * @return true if the head is joined
     */
    static boolean isInReason(final HttpResponse response) {
        return isStatusLineIn(response.status().reasonPhrase());
    }

    /**
     * Returns whether a field value holds the status line of a response.
     *
     * @param response the head of a response
     * @return true if the head is joined or the target quotes status lines
     */
    static boolean isInField(final HttpResponse response) {
        final Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                response.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            if (isStatusLineIn(fields.next().getValue().toString())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLineIn(final String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
