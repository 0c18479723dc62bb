package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * What one gate reports about the target beside it during a roll-out. Every number only grows.
 *
 * @param service the service
 * @param host the gate's host
 * @param nodeIncarnation the incarnation of the gate's process
 * @param targetIncarnation the incarnation of the target
 * @param version the target's version
 * @param started the calls that the gate has let in
 * @param drainedFor the generation of the newest order for which the gate is closed and empty; -1
 *     if there is none
 * @param routes the ends of calls by route
 */
public record RolloutRow(
        String service,
        String host,
        long nodeIncarnation,
        long targetIncarnation,
        String version,
        long started,
        long drainedFor,
        List<RouteCounts> routes) {
    /** The value of {@code drainedFor} of a gate that was never closed. */
    public static final long NEVER_DRAINED = -1;

    /** Checks that no component is null and copies the routes. */
    public RolloutRow {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(version, "version is null");
        routes = List.copyOf(routes);
    }

    /**
     * Returns a row that reports nothing.
     *
     * @param service the service
     * @param host the gate's host
     * @param nodeIncarnation the incarnation of the gate's process
     * @param targetIncarnation the incarnation of the target
     * @param version the target's version
     * @return the row
     */
    public static RolloutRow empty(
            final String service,
            final String host,
            final long nodeIncarnation,
            final long targetIncarnation,
            final String version) {
        return new RolloutRow(
                service,
                host,
                nodeIncarnation,
                targetIncarnation,
                version,
                0,
                NEVER_DRAINED,
                List.of());
    }

    /**
     * Returns what identifies the gate and the target.
     *
     * @return a key
     */
    public String key() {
        return host + "/" + nodeIncarnation + "/" + targetIncarnation;
    }

    /**
     * Returns the newer of two states of the same row.
     *
     * @param other another state of the row
     * @return the maximum of each number
     */
    public RolloutRow newest(final RolloutRow other) {
        final Map<Integer, RouteCounts> merged = new TreeMap<>();
        routes.forEach(counts -> merged.put(counts.route(), counts));
        other.routes.forEach(counts -> merged.merge(counts.route(), counts, RouteCounts::newest));
        return new RolloutRow(
                service,
                host,
                nodeIncarnation,
                targetIncarnation,
                version,
                Math.max(started, other.started),
                Math.max(drainedFor, other.drainedFor),
                new ArrayList<>(merged.values()));
    }
}
