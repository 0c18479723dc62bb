package io.bilberrylane.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Decides with which seeds a started node synchronizes its member table.
 *
 * <p>Load pattern: all nodes of a fleet start at once. Two seeds at once connect nodes that found
 * different seeds; one more a little later adds the nodes that started after that. Not thread-safe.
 */
public final class StartupSync {
    private static final int EARLY_SYNCS = 2;
    private static final long LATE_SYNC_MILLIS = 1_000;
    private static final long PERIOD_MILLIS = 4_000;

    private final Set<String> mSyncedAddresses = new HashSet<>();
    private int mSyncs;

    private StartupSync() {}

    /**
     * Returns the state of a node that has just started.
     *
     * @return a state without synchronizations
     */
    public static StartupSync create() {
        return new StartupSync();
    }

    /**
     * Returns whether nothing is left to do.
     *
     * @param ageMillis the time since the start of the node, in milliseconds
     * @return true once all synchronizations have succeeded or the start is over
     */
    public boolean isFinished(final long ageMillis) {
        return mSyncs > EARLY_SYNCS || ageMillis >= PERIOD_MILLIS;
    }

    /**
     * Returns the seed to synchronize with now.
     *
     * @param seedAddresses the addresses of all known seeds but the node itself
     * @param ageMillis the time since the start of the node, in milliseconds
     * @param random selects one of several seeds
     * @return an address that was not synchronized with yet, or any if there is none and it is
     *     late; empty if no synchronization is due
     */
    public Optional<String> next(
            final Collection<String> seedAddresses, final long ageMillis, final Random random) {
        final boolean late = ageMillis >= LATE_SYNC_MILLIS;
        final int due = EARLY_SYNCS + (late ? 1 : 0);
        final List<String> fresh = new ArrayList<>(seedAddresses);
        fresh.removeAll(mSyncedAddresses);
        final List<String> eligible = fresh.isEmpty() && late ? List.copyOf(seedAddresses) : fresh;
        return mSyncs >= due || isFinished(ageMillis) || eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.get(random.nextInt(eligible.size())));
    }

    /**
     * Records a successful synchronization.
     *
     * @param address the address of the other node
     */
    public void recordSync(final String address) {
        mSyncedAddresses.add(address);
        mSyncs++;
    }
}
