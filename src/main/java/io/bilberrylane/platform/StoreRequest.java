package io.bilberrylane.platform;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The path and query of one request to the object API.
 *
 * @param kind the kind of the objects
 * @param name the name of the object; empty for all objects of the kind
 * @param statusOnly whether the request is for the object's status only
 * @param afterName the last name of the previous page of a list; empty for the first page
 * @param staleAllowed whether the response may be some seconds old
 * @param watchVersion the store version after which changes are delivered; negative if the request
 *     is not a watch
 * @param waitMillis the maximum time that a watch waits for a change, in milliseconds
 * @param version the version to delete, {@code revision} on the wire; 0 for any
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

    /** Checks that no text is null. */
    public StoreRequest {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(afterName, "afterName is null");
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
     * Parses a request target.
     *
     * @param uri the request target
     * @return the request, or empty if the path is not one of the object API
     * @throws IllegalArgumentException if a numeric query parameter is not a number
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
     * Returns whether the request is a watch.
     *
     * @return true if the request waits for changes
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
