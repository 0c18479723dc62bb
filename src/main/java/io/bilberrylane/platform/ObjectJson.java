package io.bilberrylane.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.ArrayList;
import java.util.List;

/**
 * The JSON format of objects, lists and events in the object API. On the wire, the version of an
 * object is its {@code revision} and the version of the store is {@code currentRev}.
 */
public final class ObjectJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

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
        root.path(ITEMS).forEach(item -> items.add(read(kind, item)));
        return new ObjectList(storeVersion(root), items);
    }

    static boolean hasMore(final JsonNode root) {
        return root.path(HAS_MORE).asBoolean();
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
            events.add(
                    new ObjectEvent(
                            read(kind, event.path(OBJECT)), event.path(DELETED).asBoolean()));
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
        } catch (JsonProcessingException e) {
            throw unreadable("the platform sent no JSON", e);
        }
    }

    private static BilberrylaneException unreadable(final String message, final Throwable cause) {
        return new BilberrylaneException(ErrorCode.PLATFORM_UNREADABLE, message, cause);
    }
}
