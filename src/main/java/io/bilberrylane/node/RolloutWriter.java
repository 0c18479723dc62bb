package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.catalogue.RolloutOrder;
import io.bilberrylane.catalogue.RolloutState;
import io.bilberrylane.membership.Member;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.policy.RolloutPhase;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Writes the states of roll-outs to the platform. Every node may write; nodes wait by their rank,
 * so that usually one does, and the platform takes a write only at the revision that the writer has
 * read, so that one wins. A write whose response was lost is resolved by reading the object.
 */
final class RolloutWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A node of the next rank writes if that of this rank has not done so by then. */
    private static final long RANK_STEP_NANOS = 600_000_000L;

    /** Nodes of a higher rank never write; this bounds the calls of the platform. */
    private static final int MAX_RANK = 8;

    private static final long RETRY_NANOS = 500_000_000L;

    /** A state that a service should have, since when, and the writes of it. */
    private static final class Attempt {
        private final long mGeneration;
        private final RolloutState mState;
        private final long mSinceNanos;
        private volatile boolean mIsBusy;
        private volatile long mNextNanos;

        private Attempt(final long generation, final RolloutState state, final long nowNanos) {
            mGeneration = generation;
            mState = state;
            mSinceNanos = nowNanos;
            mNextNanos = nowNanos;
        }
    }

    private final String mHost;
    private final ObjectStore mStore;
    private final RolloutFormat mFormat;
    private final RankedLock mLock;
    private final Consumer<StoredObject> mOnStored;
    private final Map<String, Attempt> mAttempts = new ConcurrentHashMap<>();

    RolloutWriter(
            final String host,
            final ObjectStore store,
            final RolloutFormat format,
            final RankedLock lock,
            final Consumer<StoredObject> onStored) {
        mHost = host;
        mStore = store;
        mFormat = format;
        mLock = lock;
        mOnStored = onStored;
    }

    /** Writes the state that the roll-out has reached, if it is this node's turn. */
    void writeIfDue(final RolloutEntry entry, final RolloutFleet fleet) {
        final Optional<DueWrite> due = mLock.get(() -> dueWrite(entry, fleet));
        if (due.isEmpty()) {
            mAttempts.remove(entry.service());
            return;
        }
        final long nowNanos = System.nanoTime();
        final RolloutState state = due.get().state();
        final long generation = due.get().generation();
        final Attempt attempt =
                mAttempts.compute(
                        entry.service(),
                        (service, known) ->
                                known != null
                                                && known.mState == state
                                                && known.mGeneration == generation
                                        ? known
                                        : new Attempt(generation, state, nowNanos));
        final int rank = rank(entry.service(), fleet.members());
        final boolean isTurn =
                rank < MAX_RANK && nowNanos - attempt.mSinceNanos >= rank * RANK_STEP_NANOS;
        if (!isTurn || attempt.mIsBusy || nowNanos - attempt.mNextNanos < 0) {
            return;
        }
        attempt.mIsBusy = true;
        write(due.get().order(), attempt);
    }

    /** The order is that of the decision, so that a later revision makes the write fail. */
    private record DueWrite(RolloutState state, RolloutOrder order, long generation) {}

    private static Optional<DueWrite> dueWrite(final RolloutEntry entry, final RolloutFleet fleet) {
        return stateToWrite(entry, fleet)
                .map(
                        state ->
                                new DueWrite(
                                        state,
                                        entry.rollout().order(),
                                        entry.rollout().generation()));
    }

    private static Optional<RolloutState> stateToWrite(
            final RolloutEntry entry, final RolloutFleet fleet) {
        final RolloutState stored = entry.rollout().order().state();
        if (entry.isWithdrawn() || !entry.isKnown()) {
            return Optional.empty();
        }
        if (entry.phase() == RolloutPhase.STOPPED && stored != RolloutState.ROLLED_BACK) {
            // The stop may be that of an earlier order unless another node has the same one.
            return fleet.view(entry).isCurrent()
                    ? Optional.of(RolloutState.ROLLED_BACK)
                    : Optional.empty();
        }
        if (entry.isKnownFromStart() && entry.rollout().mayComplete(fleet.view(entry))) {
            return Optional.of(RolloutState.COMPLETED);
        }
        return entry.phase() == RolloutPhase.TRIAL && stored == RolloutState.PENDING
                ? Optional.of(RolloutState.RUNNING)
                : Optional.empty();
    }

    private int rank(final String service, final List<Member> members) {
        return members.stream()
                .filter(Member::isPresent)
                .map(Member::host)
                .sorted(Comparator.comparingLong(host -> weight(service, host)))
                .toList()
                .indexOf(mHost);
    }

    private static long weight(final String service, final String host) {
        return Hashing.murmur3_128()
                .hashString(service + "/" + host, StandardCharsets.UTF_8)
                .asLong();
    }

    private void write(final RolloutOrder order, final Attempt attempt) {
        mStore.updateStatus(
                        RolloutFormat.KIND,
                        order.service(),
                        order.revision(),
                        mFormat.status(attempt.mState, order.version()))
                .whenComplete(
                        (object, failure) -> {
                            if (failure == null) {
                                onStored(order, object, attempt);
                            } else {
                                LOGGER.atInfo().log(
                                        "status %s of the roll-out of %s not written: %s",
                                        attempt.mState, order.service(), failure.getMessage());
                                read(order, attempt);
                            }
                        });
    }

    /** Reads the object after a write that failed or whose response was lost. */
    private void read(final RolloutOrder order, final Attempt attempt) {
        mStore.get(RolloutFormat.KIND, order.service())
                .whenComplete(
                        (object, failure) -> {
                            if (failure == null) {
                                onStored(order, object, attempt);
                            } else {
                                release(attempt);
                            }
                        });
    }

    private void onStored(
            final RolloutOrder order, final StoredObject object, final Attempt attempt) {
        try {
            if (object.version() > order.revision()) {
                mOnStored.accept(object);
            }
        } finally {
            release(attempt);
        }
    }

    private static void release(final Attempt attempt) {
        attempt.mNextNanos = System.nanoTime() + RETRY_NANOS;
        attempt.mIsBusy = false;
    }
}
