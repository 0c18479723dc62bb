package io.bilberrylane.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.StoredObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The objects of the platform stand-in with the history that watches need. */
final class ObjectTable {
    private static final int HISTORY_EVENTS = 4_096;

    /** A change of one object. */
    record Event(String type, StoredObject object, long version) {}

    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private final Deque<Event> mHistory = new ArrayDeque<>();
    private long mVersion;
    private long mForgottenVersion;

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
        return store("ADDED", new StoredObject(kind, name, mVersion + 1, spec));
    }

    synchronized StoredObject update(
            final String kind, final String name, final long version, final JsonNode spec) {
        checkVersion(get(kind, name), version);
        return store("MODIFIED", new StoredObject(kind, name, mVersion + 1, spec));
    }

    synchronized StoredObject delete(final String kind, final String name, final long version) {
        final StoredObject object = get(kind, name);
        checkVersion(object, version);
        mObjects.remove(key(kind, name));
        record(new Event("DELETED", object, ++mVersion));
        return object;
    }

    synchronized void wipe() {
        mObjects.clear();
        mHistory.clear();
        mForgottenVersion = ++mVersion;
    }

    /** Returns the events of a kind after a version; fails when they are forgotten. */
    synchronized List<Event> since(final String kind, final long version) {
        if (version < mForgottenVersion) {
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

    synchronized long version() {
        return mVersion;
    }

    private StoredObject store(final String type, final StoredObject object) {
        mVersion = object.version();
        mObjects.put(key(object.kind(), object.name()), object);
        record(new Event(type, object, mVersion));
        return object;
    }

    private void record(final Event event) {
        mHistory.addLast(event);
        if (mHistory.size() > HISTORY_EVENTS) {
            mForgottenVersion = mHistory.removeFirst().version();
        }
    }

    private static void checkVersion(final StoredObject object, final long version) {
        if (object.version() != version) {
            throw new BilberrylaneException(
                    ErrorCode.PLATFORM_CONFLICT,
                    "version " + version + " is not current; it is " + object.version());
        }
    }

    private static String key(final String kind, final String name) {
        return kind + "/" + name;
    }
}
