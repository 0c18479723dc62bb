package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What an ingress knows of the owners of one organisation's limit: which of them it has asked,
 * which do not reply, and when they may have more. All times are of the {@link AgingClock}. Not
 * thread-safe.
 */
final class QuotaOwnerStates {
    /** An owner that has not replied after this time is passed over for a while. */
    private static final long SLOW_OWNER_NANOS = 40_000_000L;

    private static final long SILENT_OWNER_NANOS = 250_000_000L;

    private static final class Owner {
        private QuotaAsk mAsk;
        private long mAskedNanos;
        private boolean mSlow;
        private boolean mSilent;
        private long mBlockedUntilNanos = Long.MIN_VALUE;

        private boolean isUsable(final long nowNanos) {
            return mAsk == null && nowNanos >= mBlockedUntilNanos;
        }

        private String describe() {
            if (mAsk != null) {
                return mSlow ? "slow" : "asked";
            }
            return mSilent ? "silent" : "exhausted";
        }
    }

    private final Map<String, Owner> mOwners = new HashMap<>();
    private final List<QuotaAsk> mAsks = new ArrayList<>();
    private List<String> mOrder = List.of();

    // -- events

    /** Sets the hosts of the owners, in the order in which they are asked. */
    void update(final List<String> owners) {
        mOrder = List.copyOf(owners);
        mOwners.entrySet()
                .removeIf(
                        entry -> entry.getValue().mAsk == null && !mOrder.contains(entry.getKey()));
    }

    void ask(final String host, final int wanted, final long nowNanos) {
        final QuotaAsk ask = new QuotaAsk(host, wanted, nowNanos);
        final Owner owner = mOwners.computeIfAbsent(host, key -> new Owner());
        owner.mAsk = ask;
        owner.mAskedNanos = nowNanos;
        mAsks.add(ask);
    }

    void onReply(final QuotaAsk ask, final QuotaGrant grant, final long nowNanos) {
        final Owner owner = endAsk(ask);
        owner.mSilent = false;
        owner.mBlockedUntilNanos = nowNanos + grant.retryAfterNanos();
    }

    void onNoReply(final QuotaAsk ask, final long nowNanos) {
        final Owner owner = endAsk(ask);
        owner.mSilent = true;
        owner.mBlockedUntilNanos = nowNanos + SILENT_OWNER_NANOS;
    }

    /** Passes over the owners that are slow to reply. */
    void tick(final long nowNanos) {
        for (final Owner owner : mOwners.values()) {
            if (owner.mAsk != null && nowNanos - owner.mAsk.sentNanos() >= SLOW_OWNER_NANOS) {
                owner.mSlow = true;
            }
        }
    }

    private Owner endAsk(final QuotaAsk ask) {
        final Owner owner = mOwners.computeIfAbsent(ask.owner(), host -> new Owner());
        if (ask.equals(owner.mAsk)) {
            owner.mAsk = null;
            owner.mSlow = false;
        }
        return owner;
    }

    // -- results

    /** Returns the requests to send since the last time. */
    List<QuotaAsk> takeAsks() {
        if (mAsks.isEmpty()) {
            return List.of();
        }
        final List<QuotaAsk> copy = List.copyOf(mAsks);
        mAsks.clear();
        return copy;
    }

    boolean isNoneAsked() {
        return mOwners.values().stream().allMatch(owner -> owner.mAsk == null);
    }

    /** Returns whether an owner replies. */
    boolean isAnyReached() {
        return mOrder.stream()
                .map(mOwners::get)
                .anyMatch(owner -> owner != null && !owner.mSilent && !owner.mSlow);
    }

    /** Returns the calls that owners which are not slow have been asked for. */
    int pendingCalls() {
        int calls = 0;
        for (final Owner owner : mOwners.values()) {
            calls += owner.mAsk == null || owner.mSlow ? 0 : owner.mAsk.wanted();
        }
        return calls;
    }

    /** Returns the usable owner that was not asked for the longest time: it has the most tokens. */
    String leastRecentlyAsked(final long nowNanos) {
        String chosen = null;
        long chosenAskedNanos = Long.MAX_VALUE;
        for (final String host : mOrder) {
            final Owner owner = mOwners.get(host);
            final long askedNanos = owner == null ? Long.MIN_VALUE : owner.mAskedNanos;
            if ((owner == null || owner.isUsable(nowNanos)) && askedNanos < chosenAskedNanos) {
                chosen = host;
                chosenAskedNanos = askedNanos;
            }
        }
        return chosen;
    }

    /** Returns the first usable owner, or null. */
    String firstUsable(final long nowNanos) {
        for (final String host : mOrder) {
            final Owner owner = mOwners.get(host);
            if (owner == null || owner.isUsable(nowNanos)) {
                return host;
            }
        }
        return null;
    }

    /** Returns the time until the first owner may have more. */
    long retryAfterNanos(final long nowNanos) {
        long earliestNanos = nowNanos + SILENT_OWNER_NANOS;
        for (final String host : mOrder) {
            final Owner owner = mOwners.get(host);
            if (owner != null && owner.mAsk == null) {
                earliestNanos = Math.min(earliestNanos, owner.mBlockedUntilNanos);
            }
        }
        return Math.max(1, earliestNanos - nowNanos);
    }

    String describe() {
        return mOrder.stream()
                .map(host -> host + "=" + describe(mOwners.get(host)))
                .collect(Collectors.joining(" "));
    }

    private static String describe(final Owner owner) {
        return owner == null ? "not-asked" : owner.describe();
    }
}
