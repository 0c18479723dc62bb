package io.bilberrylane.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.http.LocalEndpoint;
import io.bilberrylane.http.LocalResponse;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Accepts the heartbeats and leave requests of workers and passes them to the target registry. */
final class HeartbeatEndpoint implements LocalEndpoint {
    /** The path prefix of every request that a worker sends to its node. */
    static final String PATH_PREFIX = "/-/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    static final String HEARTBEAT_PATH = PATH_PREFIX + "Instances.Heartbeat/";
    private static final String LEAVE_PATH = PATH_PREFIX + "Instances.Leave/";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final LocalResponse ACKNOWLEDGED = LocalResponse.json(200, "{}");

    /**
     * Heartbeats may be late by seconds. The lease need not be short: a crash is first detected on
     * the worker's connections.
     */
    private static final int HEARTBEATS_PER_LEASE = 5;

    private final TargetRegistry mRegistry;
    private final String mTargetAddress;
    private final long mLeaseMillis;

    HeartbeatEndpoint(
            final TargetRegistry registry,
            final String targetAddress,
            final long heartbeatIntervalMillis) {
        mRegistry = registry;
        mTargetAddress = targetAddress;
        mLeaseMillis = heartbeatIntervalMillis * HEARTBEATS_PER_LEASE;
    }

    @Override
    public CompletionStage<LocalResponse> respond(
            final String method, final String path, final String body) {
        if (!method.equals("POST")) {
            return LocalResponse.json(405, "{\"error\":\"method-not-allowed\"}").now();
        }
        if (path.startsWith(HEARTBEAT_PATH)) {
            return acceptHeartbeat(path.substring(HEARTBEAT_PATH.length()), body);
        }
        if (path.startsWith(LEAVE_PATH)) {
            return mRegistry
                    .markLeaving(path.substring(LEAVE_PATH.length()), bornOf(body))
                    .thenApply(done -> ACKNOWLEDGED);
        }
        return LocalResponse.json(404, "{\"error\":\"not-found\"}").now();
    }

    private CompletionStage<LocalResponse> acceptHeartbeat(final String id, final String body) {
        try {
            return mRegistry
                    .announce(toAnnouncement(id, MAPPER.readTree(body)))
                    .thenApply(done -> ACKNOWLEDGED);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "rejected heartbeat of worker %s: %s", id, e.getMessage());
            return LocalResponse.json(
                            400, MAPPER.createObjectNode().put("error", e.getMessage()).toString())
                    .now();
        }
    }

    // -- format

    /**
     * Converts a heartbeat. On the wire, {@code born} is the worker's incarnation and {@code
     * coldRemainingS} the time for which it remains cold, in seconds.
     */
    private TargetAnnouncement toAnnouncement(final String id, final JsonNode root) {
        final JsonNode info = root.path("info");
        final JsonNode status = root.path("status");
        final String address = FieldText.of(root, "address");
        if (!mTargetAddress.isEmpty() && !mTargetAddress.equals(address)) {
            throw new IllegalArgumentException(
                    "address " + address + " is not that of the worker here, " + mTargetAddress);
        }
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the path names no worker");
        }
        final int slots = (int) integer(info, "slots");
        return new TargetAnnouncement(
                FieldText.of(info, "service"),
                id,
                address,
                slots,
                0,
                slots,
                0,
                integer(root, "born"),
                integer(status, "seqNo"),
                mLeaseMillis,
                isDraining(FieldText.of(status, "state")),
                false,
                millis(status, "coldRemainingS"),
                info.path("version").asText(""));
    }

    /**
     * Returns the process that a leave names. A leave without one counts for the process that is
     * known here.
     */
    private static OptionalLong bornOf(final String body) {
        try {
            return OptionalLong.of(integer(MAPPER.readTree(body), "born"));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOGGER.atFine().log("leave without an incarnation: %s", e.getMessage());
            return OptionalLong.empty();
        }
    }

    private static boolean isDraining(final String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IllegalArgumentException("state '" + state + "' is not known");
        };
    }

    private static long integer(final JsonNode parent, final String field) {
        final JsonNode node = parent.path(field);
        if (!node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new IllegalArgumentException(field + " is no whole number");
        }
        return node.asLong();
    }

    /** Returns a field in seconds, which may have a fraction, as milliseconds. */
    private static long millis(final JsonNode parent, final String field) {
        final JsonNode node = parent.path(field);
        if (!node.isNumber()) {
            throw new IllegalArgumentException(field + " is no number");
        }
        return Math.round(node.asDouble() * 1_000);
    }
}
