package io.bilberrylane.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.platform.ObjectEvent;
import io.bilberrylane.platform.ObjectEvents;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.StoredObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The objects of the platform stand-in, and the latest events for watches. Thread-safe. */
final class ObjectTable {
    private static final int HISTORY_EVENTS = 4_096;

    /** A write or deletion of one object, with the store version that it led to. */
    record Event(StoredObject object, boolean deleted, long version) {}

    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private final Deque<Event> mHistory = new ArrayDeque<>();
    private long mVersion;
    private long mCompactedVersion;

    synchronized ObjectList list(final String kind) {
        final List<StoredObject> items =
                mObjects.values().stream().filter(object -> object.kind().equals(kind)).toList();
        return new ObjectList(mVersion, items);
    }

    synchronized StoredObject get(final String kind, final String name) {
        final StoredObject object = mObjects.get(key(kind, name));
        if (object == null) {
            throw new BilberrylaneException(ErrorCode.PLATFORM_NOT_FOUND, kind + "/" + name);
        }
        return object;
    }

    synchronized StoredObject create(final String kind, final String name, final JsonNode spec) {
        if (mObjects.containsKey(key(kind, name))) {
            throw new BilberrylaneException(ErrorCode.PLATFORM_CONFLICT, name + " already exists");
        }
        return store(StoredObject.of(kind, name, mVersion + 1, spec));
    }

    synchronized StoredObject update(
            final String kind, final String name, final long version, final JsonNode spec) {
        final StoredObject current = get(kind, name);
        checkVersion(current, version);
        if (current.spec().equals(spec)) {
            return current;
        }
        return store(new StoredObject(kind, name, mVersion + 1, spec, current.status()));
    }

    synchronized StoredObject updateStatus(
            final String kind, final String name, final long version, final JsonNode status) {
        final StoredObject current = get(kind, name);
        checkVersion(current, version);
        if (current.status().equals(status)) {
            return current;
        }
        return store(new StoredObject(kind, name, mVersion + 1, current.spec(), status));
    }

    synchronized StoredObject delete(final String kind, final String name, final long version) {
        final StoredObject object = get(kind, name);
        checkVersion(object, version);
        mObjects.remove(key(kind, name));
        record(new Event(object, true, ++mVersion));
        return object;
    }

    synchronized void wipe() {
        mObjects.clear();
        mHistory.clear();
        mCompactedVersion = ++mVersion;
    }

    /**
     * Returns the events of a kind after a version; fails with PLATFORM_GONE if the history no
     * longer has them.
     */
    synchronized List<Event> eventsAfter(final String kind, final long version) {
        if (version < mCompactedVersion) {
            throw new BilberrylaneException(ErrorCode.PLATFORM_GONE, "version is too old");
        }
        final List<Event> events = new ArrayList<>();
        for (final Event event : mHistory) {
            if (event.version() > version && event.object().kind().equals(kind)) {
                events.add(event);
            }
        }
        return events;
    }

    /** Returns the response to a watch: the events after a version and the current version. */
    synchronized ObjectEvents events(final String kind, final long version) {
        return new ObjectEvents(
                mVersion,
                eventsAfter(kind, version).stream()
                        .map(event -> new ObjectEvent(event.object(), event.deleted()))
                        .toList());
    }

    /** Drops the history, as a compaction does, and keeps the objects. */
    synchronized void compact() {
        mHistory.clear();
        mCompactedVersion = mVersion;
    }

    synchronized long version() {
        return mVersion;
    }

    private StoredObject store(final StoredObject object) {
        mVersion = object.version();
        mObjects.put(key(object.kind(), object.name()), object);
        record(new Event(object, false, mVersion));
        return object;
    }

    private void record(final Event event) {
        mHistory.addLast(event);
        if (mHistory.size() > HISTORY_EVENTS) {
            mCompactedVersion = mHistory.removeFirst().version();
        }
    }

    private static void checkVersion(final StoredObject object, final long version) {
        if (version > 0 && object.version() != version) {
            throw new BilberrylaneException(
                    ErrorCode.PLATFORM_CONFLICT,
                    "version " + version + " is not current; it is " + object.version());
        }
    }

    private static String key(final String kind, final String name) {
        return kind + "/" + name;
    }
}
