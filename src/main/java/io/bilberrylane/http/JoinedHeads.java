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
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( |$)");

    private JoinedHeads() {}

    /**
     * Returns whether the reason phrase or a field value holds the status line of a response.
     *
     * @param response the head of a response
     * @return true for each joined head, and for one of a target that quotes status lines itself
     */
    static boolean holdsStatusLine(final HttpResponse response) {
        if (isStatusLineIn(response.status().reasonPhrase())) {
            return true;
        }
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
