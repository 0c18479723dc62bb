package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. A write that fails with PLATFORM_UNAVAILABLE may have been applied.
 * Every failure is a {@link io.bilberrylane.base.BilberrylaneException}.
 */
public interface ObjectStore {
    /**
     * Reads an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @return the object; fails with PLATFORM_NOT_FOUND if it does not exist
     */
    CompletableFuture<StoredObject> get(String kind, String name);

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @return the objects with the version of the store
     */
    CompletableFuture<ObjectList> list(String kind);

    /**
     * Reads all objects of a kind from a state that may be some seconds old. Costs far less than
     * {@link #list}.
     *
     * @param kind the kind
     * @return the objects with the version of the store
     */
    CompletableFuture<ObjectList> listStale(String kind);

    /**
     * Creates an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param spec the value of the object
     * @return the object; fails with PLATFORM_CONFLICT if the name exists
     */
    CompletableFuture<StoredObject> create(String kind, String name, JsonNode spec);

    /**
     * Replaces the value of an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param version the version to replace
     * @param spec the new value
     * @return the object; fails with PLATFORM_CONFLICT if the version is not current
     */
    CompletableFuture<StoredObject> update(String kind, String name, long version, JsonNode spec);

    /**
     * Replaces the status of an object and leaves its value unchanged.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param version the version to replace
     * @param status the new status
     * @return the object; fails with PLATFORM_CONFLICT if the version is not current
     */
    CompletableFuture<StoredObject> updateStatus(
            String kind, String name, long version, JsonNode status);

    /**
     * Deletes an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param version the version to delete
     * @return a future that completes when the object is deleted; fails with PLATFORM_CONFLICT if
     *     the version is not current
     */
    CompletableFuture<Void> delete(String kind, String name, long version);

    /**
     * Watches the objects of a kind for changes.
     *
     * @param kind the kind
     * @param version the store version after which changes are delivered
     * @param waitMillis the time for which the platform holds one request open, in milliseconds
     * @param listener the receiver of the events
     * @return a handle that ends the watch when closed
     */
    AutoCloseable watch(String kind, long version, long waitMillis, WatchListener listener);
}
