package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;

/**
 * The format of the objects that hold orders for roll-outs.
 *
 * @param versionField the name of the field that holds the new version
 * @param durationField the name of the field that holds the duration, in seconds
 * @param rolledBack the state of an order whose version was stopped
 */
public record RolloutFormat(String versionField, String durationField, String rolledBack) {
    /** The kind of the objects. */
    public static final String KIND = "rollouts";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SERVICE = "service";
    private static final String RUNNING = "running";
    private static final String COMPLETED = "completed";
    private static final String STATE = "state";

    /** Checks that no name is null. */
    public RolloutFormat {
        Objects.requireNonNull(versionField, "versionField is null");
        Objects.requireNonNull(durationField, "durationField is null");
        Objects.requireNonNull(rolledBack, "rolledBack is null");
    }

    /**
     * Reads an order.
     *
     * @param name the name of the object, which is that of the service
     * @param revision the revision of the object
     * @param spec the value of the object
     * @param status the status of the object
     * @return the order
     * @throws IllegalArgumentException if the order is malformed
     */
    public RolloutOrder read(
            final String name, final long revision, final JsonNode spec, final JsonNode status) {
        final String service = text(spec, SERVICE);
        if (!service.equals(name)) {
            throw new IllegalArgumentException(
                    "the object '" + name + "' names the service '" + service + "'");
        }
        final JsonNode duration = spec.path(durationField);
        if (!duration.isNumber()) {
            throw new IllegalArgumentException(durationField + " is no number");
        }
        final String version = text(spec, versionField);
        return new RolloutOrder(
                service,
                revision,
                version,
                Math.round(duration.asDouble() * 1_000),
                state(status, version));
    }

    /** Returns the state, which belongs to the order only if it names the same version. */
    private RolloutState state(final JsonNode status, final String version) {
        final boolean belongsToOrder = status.path(versionField).asText(version).equals(version);
        if (!belongsToOrder || !status.path(STATE).isTextual()) {
            return RolloutState.PENDING;
        }
        final String text = status.path(STATE).asText();
        if (text.equals(rolledBack)) {
            return RolloutState.ROLLED_BACK;
        }
        return switch (text) {
            case RUNNING -> RolloutState.RUNNING;
            case COMPLETED -> RolloutState.COMPLETED;
            default -> RolloutState.PENDING;
        };
    }

    /**
     * Returns a state as a status holds it.
     *
     * @param state the state
     * @return the word
     */
    public String word(final RolloutState state) {
        return switch (state) {
            case PENDING -> "pending";
            case RUNNING -> RUNNING;
            case COMPLETED -> COMPLETED;
            case ROLLED_BACK -> rolledBack;
        };
    }

    private static String text(final JsonNode spec, final String field) {
        final JsonNode node = spec.path(field);
        if (!node.isTextual() || node.asText().isEmpty()) {
            throw new IllegalArgumentException(field + " is no text or empty");
        }
        return node.asText();
    }

    /**
     * Returns the status of a state.
     *
     * @param state the state
     * @param version the version of the order
     * @return the JSON of the status
     */
    public JsonNode status(final RolloutState state, final String version) {
        return MAPPER.createObjectNode().put(STATE, word(state)).put(versionField, version);
    }

    /**
     * Returns the value of an object that holds an order.
     *
     * @param service the service
     * @param version the new version
     * @param durationSeconds the time for the roll-out, in seconds
     * @return the JSON of the value
     */
    public JsonNode spec(final String service, final String version, final double durationSeconds) {
        return MAPPER.createObjectNode()
                .put(SERVICE, service)
                .put(versionField, version)
                .put(durationField, durationSeconds);
    }
}
