package io.bilberrylane.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * The JSON format of objects, lists and events in the object API. On the wire, the version of an
 * object is its {@code revision} and the version of the store is {@code currentRev}.
 */
public final class ObjectJson {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final LongAdder INVALID_OBJECTS = new LongAdder();

    /** An object with more levels is ignored. */
    private static final int MAX_DEPTH = 64;

    /** Longer than any value in the platform, so that the response around an odd object is read. */
    private static final int MAX_TOKEN_CHARS = 4_000_000;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                    JsonFactory.builder()
                            .streamReadConstraints(
                                    StreamReadConstraints.builder()
                                            .maxNestingDepth(MAX_TOKEN_CHARS)
                                            .maxNumberLength(MAX_TOKEN_CHARS)
                                            .maxNameLength(MAX_TOKEN_CHARS)
                                            .build())
                            .build());

    private static final String METADATA = "metadata";
    private static final String NAME = "name";
    private static final String VERSION = "revision";
    private static final String SPEC = "spec";
    private static final String STATUS = "status";
    private static final String ITEMS = "items";
    private static final String HAS_MORE = "hasMore";
    private static final String EVENTS = "events";
    private static final String OBJECT = "object";
    private static final String DELETED = "deleted";
    private static final String STORE_VERSION = "currentRev";

    private ObjectJson() {}

    // -- objects

    /**
     * Returns the JSON of an object.
     *
     * @param object the object; a version of 0 is omitted
     * @return the JSON document
     */
    public static ObjectNode write(final StoredObject object) {
        final ObjectNode root = MAPPER.createObjectNode();
        final ObjectNode metadata = root.putObject(METADATA);
        metadata.put(NAME, object.name());
        if (object.version() > 0) {
            metadata.put(VERSION, object.version());
        }
        root.set(SPEC, object.spec());
        root.set(STATUS, object.status());
        return root;
    }

    /**
     * Returns the object in a JSON document.
     *
     * @param kind the requested kind
     * @param root the document
     * @return the object
     * @throws BilberrylaneException with PLATFORM_UNREADABLE if the document has no name or its
     *     version is not an integer
     */
    public static StoredObject read(final String kind, final JsonNode root) {
        final JsonNode metadata = root.path(METADATA);
        final JsonNode name = metadata.path(NAME);
        final JsonNode version = metadata.path(VERSION);
        if (!name.isTextual() || !(version.isMissingNode() || version.isIntegralNumber())) {
            throw unreadable("an object of kind " + kind + " has no name or version", null);
        }
        return new StoredObject(
                kind, name.asText(), version.asLong(), root.path(SPEC), root.path(STATUS));
    }

    // -- lists

    /**
     * Returns the JSON of one page of a list.
     *
     * @param list the objects of the page
     * @param hasMore whether another page follows
     * @return the JSON document
     */
    public static ObjectNode writeList(final ObjectList list, final boolean hasMore) {
        final ObjectNode root = MAPPER.createObjectNode();
        final ArrayNode items = root.putArray(ITEMS);
        list.items().forEach(item -> items.add(write(item)));
        return root.put(HAS_MORE, hasMore).put(STORE_VERSION, list.version());
    }

    static ObjectList readList(final String kind, final JsonNode root) {
        final List<StoredObject> items = new ArrayList<>();
        root.path(ITEMS).forEach(item -> readIfValid(kind, item).ifPresent(items::add));
        return new ObjectList(storeVersion(root), items);
    }

    static boolean hasMore(final JsonNode root) {
        return root.path(HAS_MORE).asBoolean();
    }

    /** Returns an object; empty if it is not valid, so that the others are still read. */
    private static Optional<StoredObject> readIfValid(final String kind, final JsonNode node) {
        try {
            checkDepth(kind, node);
            return Optional.of(read(kind, node));
        } catch (BilberrylaneException e) {
            INVALID_OBJECTS.increment();
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "ignored an object in the platform: %s", e.getMessage());
            return Optional.empty();
        }
    }

    private static void checkDepth(final String kind, final JsonNode root) {
        List<JsonNode> level = List.of(root);
        for (int depth = 0; !level.isEmpty(); depth++) {
            if (depth > MAX_DEPTH) {
                throw unreadable(
                        "an object of kind " + kind + " has more than " + MAX_DEPTH + " levels",
                        null);
            }
            final List<JsonNode> next = new ArrayList<>();
            level.forEach(node -> node.forEach(next::add));
            level = next;
        }
    }

    /**
     * Returns how many objects of the platform were ignored because they are not valid.
     *
     * @return a count since the start of the process
     */
    public static long invalidObjects() {
        return INVALID_OBJECTS.sum();
    }

    // -- events

    /**
     * Returns the JSON of the response to a watch.
     *
     * @param events the changes
     * @return the JSON document
     */
    public static ObjectNode writeEvents(final ObjectEvents events) {
        final ObjectNode root = MAPPER.createObjectNode();
        final ArrayNode list = root.putArray(EVENTS);
        for (final ObjectEvent event : events.events()) {
            list.addObject().put(DELETED, event.deleted()).set(OBJECT, write(event.object()));
        }
        return root.put(STORE_VERSION, events.version());
    }

    static ObjectEvents readEvents(final String kind, final JsonNode root) {
        final List<ObjectEvent> events = new ArrayList<>();
        for (final JsonNode event : root.path(EVENTS)) {
            final boolean deleted = event.path(DELETED).asBoolean();
            readIfValid(kind, event.path(OBJECT))
                    .ifPresent(object -> events.add(new ObjectEvent(object, deleted)));
        }
        return new ObjectEvents(storeVersion(root), events);
    }

    private static long storeVersion(final JsonNode root) {
        final JsonNode version = root.path(STORE_VERSION);
        if (!version.isIntegralNumber()) {
            throw unreadable("the response has no store version", null);
        }
        return version.asLong();
    }

    // -- text

    /**
     * Parses a JSON text.
     *
     * @param text the JSON text
     * @return the JSON document
     * @throws BilberrylaneException with PLATFORM_UNREADABLE if the text is not valid JSON
     */
    public static JsonNode parse(final String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException | NumberFormatException e) {
            throw unreadable("the platform sent no JSON", e);
        }
    }

    private static BilberrylaneException unreadable(final String message, final Throwable cause) {
        return new BilberrylaneException(ErrorCode.PLATFORM_UNREADABLE, message, cause);
    }
}
