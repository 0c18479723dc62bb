package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. A write that fails with PLATFORM_UNAVAILABLE may have taken effect.
 * Every failure is a {@link io.bilberrylane.base.BilberrylaneException}.
 */
public interface ObjectStore {
    /**
     * Reads an object.
     *
     * @param kind its kind
     * @param name its name
     * @return the object; fails with PLATFORM_NOT_FOUND when there is none
     */
    CompletableFuture<StoredObject> get(String kind, String name);

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @return the objects
     */
    CompletableFuture<ObjectList> list(String kind);

    /**
     * Reads all objects of a kind, as they were some seconds ago at most; costs far less.
     *
     * @param kind the kind
     * @return the objects
     */
    CompletableFuture<ObjectList> listStale(String kind);

    /**
     * Creates an object.
     *
     * @param kind its kind
     * @param name its name
     * @param spec its value
     * @return the object; fails with PLATFORM_CONFLICT when the name is taken
     */
    CompletableFuture<StoredObject> create(String kind, String name, JsonNode spec);

    /**
     * Replaces an object.
     *
     * @param kind its kind
     * @param name its name
     * @param version the version that is replaced
     * @param spec its new value
     * @return the object; fails with PLATFORM_CONFLICT when the version is not current
     */
    CompletableFuture<StoredObject> update(String kind, String name, long version, JsonNode spec);

    /**
     * Replaces what is said of an object besides its value.
     *
     * @param kind its kind
     * @param name its name
     * @param version the version that is replaced
     * @param status its new status
     * @return the object; fails with PLATFORM_CONFLICT when the version is not current
     */
    CompletableFuture<StoredObject> updateStatus(
            String kind, String name, long version, JsonNode status);

    /**
     * Deletes an object.
     *
     * @param kind its kind
     * @param name its name
     * @param version the version that is deleted
     * @return completes when done; fails with PLATFORM_CONFLICT when the version is not current
     */
    CompletableFuture<Void> delete(String kind, String name, long version);

    /**
     * Watches a kind.
     *
     * @param kind the kind
     * @param version changes after this version are told
     * @param waitMillis how long the platform keeps one call waiting, in milliseconds
     * @param listener takes the events
     * @return ends the watch when closed
     */
    AutoCloseable watch(String kind, long version, long waitMillis, WatchListener listener);
}
