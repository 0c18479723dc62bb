package io.bilberrylane.policy;

import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import java.util.Objects;

/** Tells one order from those before and after it. Not thread-safe. */
final class RolloutIdentity {
    private RolloutOrder mOrder;
    private long mGeneration;

    /**
     * Creates the identity of an order.
     *
     * @param order the order as first read from the platform
     */
    RolloutIdentity(final RolloutOrder order) {
        mOrder = Objects.requireNonNull(order, "order is null");
        mGeneration = order.state() == RolloutState.PENDING ? order.revision() : 0;
    }

    /**
     * Returns the order.
     *
     * @return the order as last read from the platform
     */
    RolloutOrder order() {
        return mOrder;
    }

    /**
     * Returns the revision at which the order was written.
     *
     * @return the revision; 0 if it is not known
     */
    long generation() {
        return mGeneration;
    }

    /**
     * Returns whether an order is another one.
     *
     * @param other the order
     * @return false if it is a state of the same order
     */
    boolean isSupersededBy(final RolloutOrder other) {
        if (other.revision() <= mOrder.revision()) {
            return false;
        }
        final boolean hasEnded =
                mOrder.state() == RolloutState.ROLLED_BACK
                        || mOrder.state() == RolloutState.COMPLETED;
        return other.state() == RolloutState.PENDING
                || (hasEnded && other.state() == RolloutState.RUNNING)
                || !other.version().equals(mOrder.version());
    }

    /**
     * Returns whether the order as last read is a later one than that of the generation.
     *
     * @param summary what a node tells that may know the later generation
     * @return true if the generation is not that of the order
     */
    boolean isOutdatedBy(final RolloutSummary summary) {
        return mGeneration != 0
                && summary.version().equals(mOrder.version())
                && summary.generation() > mGeneration
                && summary.generation() <= mOrder.revision();
    }

    /**
     * Takes over a state of the order.
     *
     * @param order the order as read from the platform
     * @return false if a later state is known
     */
    boolean update(final RolloutOrder order) {
        if (order.revision() < mOrder.revision()) {
            return false;
        }
        mOrder = order;
        return true;
    }

    /**
     * Takes over the generation if it was not known.
     *
     * @param summary what another node tells
     * @return whether the summary is about this order
     */
    boolean takeOver(final RolloutSummary summary) {
        final boolean isOtherGeneration =
                summary.generation() != 0
                        && mGeneration != 0
                        && summary.generation() != mGeneration;
        if (isOtherGeneration || !summary.version().equals(mOrder.version())) {
            return false;
        }
        mGeneration = Math.max(mGeneration, summary.generation());
        return true;
    }
}
