package io.bilberrylane.platform;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The target of one call to the store.
 *
 * @param kind the kind of the objects
 * @param name the object, or empty for all of the kind
 * @param onStatus whether the call is about the object's status
 * @param after where a list continues: the last name of the page before, or empty
 * @param stale whether an answer that is seconds old will do
 * @param watch the version after which changes are told; negative when the call is no watch
 * @param waitMillis how long a watch waits for a change, in milliseconds
 * @param version the version that a delete is for; 0 for any
 */
public record StoreCall(
        String kind,
        String name,
        boolean onStatus,
        String after,
        boolean stale,
        long watch,
        long waitMillis,
        long version) {
    private static final String BASE_PATH = "/-/objects/";
    private static final String STATUS = "status";
    private static final String AFTER = "after";
    private static final String STALE = "allowStale";
    private static final String WATCH = "watch";
    private static final String WAIT = "waitMs";
    private static final String VERSION = "revision";

    /** Checks that every part is present. */
    public StoreCall {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(after, "after is null");
    }

    // -- factories

    static StoreCall ofKind(final String kind) {
        return new StoreCall(kind, "", false, "", false, -1, 0, 0);
    }

    static StoreCall ofObject(final String kind, final String name) {
        return new StoreCall(kind, name, false, "", false, -1, 0, 0);
    }

    static StoreCall ofStatus(final String kind, final String name) {
        return new StoreCall(kind, name, true, "", false, -1, 0, 0);
    }

    static StoreCall ofVersion(final String kind, final String name, final long version) {
        return new StoreCall(kind, name, false, "", false, -1, 0, version);
    }

    static StoreCall ofPage(final String kind, final String after, final boolean stale) {
        return new StoreCall(kind, "", false, after, stale, -1, 0, 0);
    }

    static StoreCall ofWatch(final String kind, final long version, final long waitMillis) {
        return new StoreCall(kind, "", false, "", false, version, waitMillis, 0);
    }

    /**
     * Returns the call that a request makes, or nothing when it makes none.
     *
     * @param uri the request target
     * @return the call
     * @throws IllegalArgumentException when a number in the query is none
     */
    public static Optional<StoreCall> parse(final String uri) {
        final QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.path().startsWith(BASE_PATH)) {
            return Optional.empty();
        }
        final String[] path = query.path().substring(BASE_PATH.length()).split("/");
        return Optional.of(
                new StoreCall(
                        path[0],
                        path.length > 1 ? path[1] : "",
                        path.length > 2 && path[2].equals(STATUS),
                        text(query, AFTER),
                        text(query, STALE).equals("1"),
                        number(query, WATCH, -1),
                        number(query, WAIT, 0),
                        number(query, VERSION, 0)));
    }

    /**
     * Returns whether the call waits for changes.
     *
     * @return true for a watch
     */
    public boolean isWatch() {
        return watch >= 0;
    }

    String uri() {
        final StringBuilder path = new StringBuilder(BASE_PATH).append(kind);
        if (!name.isEmpty()) {
            path.append('/').append(name);
        }
        if (onStatus) {
            path.append('/').append(STATUS);
        }
        final QueryStringEncoder query = new QueryStringEncoder(path.toString());
        if (!after.isEmpty()) {
            query.addParam(AFTER, after);
        }
        if (stale) {
            query.addParam(STALE, "1");
        }
        if (isWatch()) {
            query.addParam(WATCH, String.valueOf(watch));
            query.addParam(WAIT, String.valueOf(waitMillis));
        }
        if (version > 0) {
            query.addParam(VERSION, String.valueOf(version));
        }
        return query.toString();
    }

    private static String text(final QueryStringDecoder query, final String name) {
        final List<String> values = query.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    private static long number(
            final QueryStringDecoder query, final String name, final long fallback) {
        final String text = text(query, name);
        return text.isEmpty() ? fallback : Long.parseLong(text);
    }
}
