package io.bilberrylane.ctl;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Writes and reads orders for roll-outs. Blocks. */
public final class RolloutStore {
    private final ObjectStore mStore;
    private final RolloutFormat mFormat;

    /**
     * Creates a store of orders.
     *
     * @param store the platform's object store
     * @param format the format of the orders
     */
    public RolloutStore(final ObjectStore store, final RolloutFormat format) {
        mStore = Objects.requireNonNull(store, "store is null");
        mFormat = Objects.requireNonNull(format, "format is null");
    }

    /**
     * Orders a roll-out. An order that has ended is replaced.
     *
     * @param service the service
     * @param version the new version
     * @param seconds the time for the roll-out, in seconds
     * @return the order as it was stored
     * @throws BilberrylaneException with PLATFORM_CONFLICT if a roll-out of the service is open
     */
    public RolloutOrder start(final String service, final String version, final double seconds) {
        final Optional<StoredObject> current = current(service);
        if (current.isPresent() && isOpen(current.get())) {
            throw new BilberrylaneException(
                    ErrorCode.PLATFORM_CONFLICT, "a roll-out of " + service + " is open");
        }
        current.ifPresent(
                object -> join(mStore.delete(RolloutFormat.KIND, service, object.version())));
        return read(
                join(
                        mStore.create(
                                RolloutFormat.KIND,
                                service,
                                mFormat.spec(service, version, seconds))));
    }

    private Optional<StoredObject> current(final String service) {
        try {
            return Optional.of(join(mStore.get(RolloutFormat.KIND, service)));
        } catch (BilberrylaneException e) {
            if (e.code() == ErrorCode.PLATFORM_NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }

    private boolean isOpen(final StoredObject object) {
        try {
            final RolloutState state = read(object).state();
            return state == RolloutState.PENDING || state == RolloutState.RUNNING;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /**
     * Returns all orders as lines.
     *
     * @return one line for each object, with the reason if it is malformed
     */
    public List<String> lines() {
        return join(mStore.list(RolloutFormat.KIND)).items().stream().map(this::line).toList();
    }

    private String line(final StoredObject object) {
        try {
            final RolloutOrder order = read(object);
            return order.service()
                    + " to version "
                    + order.version()
                    + " in "
                    + order.durationMillis() / 1_000.0
                    + " s: "
                    + mFormat.word(order.state());
        } catch (IllegalArgumentException e) {
            return object.name() + " is malformed: " + e.getMessage();
        }
    }

    private RolloutOrder read(final StoredObject object) {
        return mFormat.read(object.name(), object.version(), object.spec(), object.status());
    }

    private static <T> T join(final CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof BilberrylaneException failure) {
                throw failure;
            }
            throw e;
        }
    }
}
