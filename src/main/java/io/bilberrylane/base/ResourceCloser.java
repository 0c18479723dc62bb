package io.bilberrylane.base;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Collects resources as they are opened and closes all of them in reverse order. A resource that
 * fails to close is logged and does not keep the others open. Thread-safe.
 */
public final class ResourceCloser implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Deque<AutoCloseable> mResources = new ArrayDeque<>();

    private ResourceCloser() {}

    /**
     * Returns a closer without resources.
     *
     * @return a new closer
     */
    public static ResourceCloser empty() {
        return new ResourceCloser();
    }

    /**
     * Adds a resource to close.
     *
     * @param resource the resource; closed before those added earlier
     * @param <T> the type of the resource
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(final T resource) {
        mResources.push(Objects.requireNonNull(resource, "resource is null"));
        return resource;
    }

    @Override
    public synchronized void close() {
        while (!mResources.isEmpty()) {
            final AutoCloseable resource = mResources.pop();
            try {
                resource.close();
            } catch (Exception e) {
                LOGGER.atWarning().withCause(e).log("resource failed to close: %s", resource);
            }
        }
    }
}
