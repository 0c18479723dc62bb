package io.bilberrylane.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds calls back from a version that has just appeared beside another one. The record of a new
 * target may arrive before the order that puts its version on trial.
 */
final class VersionAges {
    /** The time within which a change in the platform is in force at every node. */
    private static final long HOLD_NANOS = 2_500_000_000L;

    /** Bounds the memory; the oldest versions need no entry if all were cleared. */
    private static final int MAX_VERSIONS = 2_000;

    private final Map<String, Long> mFirstSeenNanos = new ConcurrentHashMap<>();

    /** Returns the targets whose version is known for some time; all if there is none. */
    List<TargetRef> settled(
            final String service, final List<TargetRef> targets, final long nowNanos) {
        boolean differ = false;
        for (final TargetRef target : targets) {
            differ |= !target.version().equals(targets.get(0).version());
        }
        if (!differ) {
            if (!targets.isEmpty()) {
                isSettled(service, targets.get(0).version(), nowNanos);
            }
            return targets;
        }
        final List<TargetRef> settled =
                targets.stream()
                        .filter(target -> isSettled(service, target.version(), nowNanos))
                        .toList();
        return settled.isEmpty() ? targets : settled;
    }

    private boolean isSettled(final String service, final String version, final long nowNanos) {
        if (mFirstSeenNanos.size() > MAX_VERSIONS) {
            mFirstSeenNanos.clear();
        }
        final Long first = mFirstSeenNanos.putIfAbsent(service + "\n" + version, nowNanos);
        return first != null && nowNanos - first >= HOLD_NANOS;
    }
}
