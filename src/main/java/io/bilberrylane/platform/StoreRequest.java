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
 * @param statusOnly whether the call is about the object's status
 * @param afterName where a list continues: the last name of the page before, or empty
 * @param staleAllowed whether an answer that is seconds old will do
 * @param watchVersion the version after which changes are told; negative when the call is no watch
 * @param waitMillis how long a watch waits for a change, in milliseconds
 * @param version the version that a delete is for; 0 for any
 */
public record StoreRequest(
        String kind,
        String name,
        boolean statusOnly,
        String afterName,
        boolean staleAllowed,
        long watchVersion,
        long waitMillis,
        long version) {
    private static final String BASE_PATH = "/-/objects/";
    private static final String STATUS = "status";
    private static final String AFTER = "after";
    private static final String ALLOW_STALE = "allowStale";
    private static final String WATCH = "watch";
    private static final String WAIT_MILLIS = "waitMs";
    private static final String VERSION = "revision";

    /** Checks that every part is present. */
    public StoreRequest {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(afterName, "after is null");
    }

    // -- factories

    static StoreRequest ofKind(final String kind) {
        return new StoreRequest(kind, "", false, "", false, -1, 0, 0);
    }

    static StoreRequest ofObject(final String kind, final String name) {
        return new StoreRequest(kind, name, false, "", false, -1, 0, 0);
    }

    static StoreRequest ofStatus(final String kind, final String name) {
        return new StoreRequest(kind, name, true, "", false, -1, 0, 0);
    }

    static StoreRequest ofObjectVersion(final String kind, final String name, final long version) {
        return new StoreRequest(kind, name, false, "", false, -1, 0, version);
    }

    static StoreRequest ofPage(
            final String kind, final String afterName, final boolean staleAllowed) {
        return new StoreRequest(kind, "", false, afterName, staleAllowed, -1, 0, 0);
    }

    static StoreRequest ofWatch(final String kind, final long version, final long waitMillis) {
        return new StoreRequest(kind, "", false, "", false, version, waitMillis, 0);
    }

    /**
     * Returns the call that a request makes, or nothing when it makes none.
     *
     * @param uri the request target
     * @return the call
     * @throws IllegalArgumentException when a number in the query is none
     */
    public static Optional<StoreRequest> parse(final String uri) {
        final QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.path().startsWith(BASE_PATH)) {
            return Optional.empty();
        }
        final String[] path = query.path().substring(BASE_PATH.length()).split("/");
        return Optional.of(
                new StoreRequest(
                        path[0],
                        path.length > 1 ? path[1] : "",
                        path.length > 2 && path[2].equals(STATUS),
                        textParameter(query, AFTER),
                        textParameter(query, ALLOW_STALE).equals("1"),
                        longParameter(query, WATCH, -1),
                        longParameter(query, WAIT_MILLIS, 0),
                        longParameter(query, VERSION, 0)));
    }

    /**
     * Returns whether the call waits for changes.
     *
     * @return true for a watch
     */
    public boolean isWatch() {
        return watchVersion >= 0;
    }

    String uri() {
        final StringBuilder path = new StringBuilder(BASE_PATH).append(kind);
        if (!name.isEmpty()) {
            path.append('/').append(name);
        }
        if (statusOnly) {
            path.append('/').append(STATUS);
        }
        final QueryStringEncoder query = new QueryStringEncoder(path.toString());
        if (!afterName.isEmpty()) {
            query.addParam(AFTER, afterName);
        }
        if (staleAllowed) {
            query.addParam(ALLOW_STALE, "1");
        }
        if (isWatch()) {
            query.addParam(WATCH, String.valueOf(watchVersion));
            query.addParam(WAIT_MILLIS, String.valueOf(waitMillis));
        }
        if (version > 0) {
            query.addParam(VERSION, String.valueOf(version));
        }
        return query.toString();
    }

    private static String textParameter(final QueryStringDecoder query, final String name) {
        final List<String> values = query.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    private static long longParameter(
            final QueryStringDecoder query, final String name, final long fallback) {
        final String text = textParameter(query, name);
        return text.isEmpty() ? fallback : Long.parseLong(text);
    }
}
