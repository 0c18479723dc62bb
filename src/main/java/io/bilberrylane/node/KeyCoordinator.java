package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.outcome.KeyDecision;
import io.bilberrylane.outcome.KeyTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Decides whether a call with an idempotency key runs, waits, is refused or gets a stored response,
 * at one gate.
 */
final class KeyCoordinator {
    private final RankedLock mLock = RankedLock.of(LockRank.OUTCOME);
    private final KeyTable<StoredResponse> mTable = KeyTable.empty();
    private final Map<String, List<KeyedCall>> mWaitingCalls = new HashMap<>();
    private final Map<String, Long> mClaimVersions = new HashMap<>();
    private final ClaimStore mClaimStore;

    KeyCoordinator(final ClaimStore claimStore) {
        mClaimStore = claimStore;
    }

    // -- begin

    void begin(
            final String key,
            final String fingerprint,
            final long windowNanos,
            final KeyedCall call) {
        final KeyDecision<StoredResponse> decision =
                mLock.get(
                        () -> {
                            final KeyDecision<StoredResponse> result =
                                    mTable.begin(key, fingerprint, windowNanos, System.nanoTime());
                            if (result instanceof KeyDecision.Wait) {
                                mWaitingCalls
                                        .computeIfAbsent(key, k -> new ArrayList<>())
                                        .add(call);
                            }
                            return result;
                        });
        switch (decision) {
            case KeyDecision.Claim<StoredResponse> claim ->
                    mClaimStore
                            .claim(key, fingerprint)
                            .thenAccept(result -> onClaim(key, fingerprint, call, result));
            case KeyDecision.Wait<StoredResponse> wait -> {}
            case KeyDecision.Replay<StoredResponse> replay -> call.onKeyReplayed(replay.response());
            case KeyDecision.Unknown<StoredResponse> unknown -> call.onKeyOutcomeUnknown();
            case KeyDecision.Reused<StoredResponse> reused ->
                    call.onKeyRefused(ErrorCode.KEY_REUSED, "");
            case KeyDecision.Busy<StoredResponse> busy ->
                    call.onKeyRefused(ErrorCode.KEY_IN_PROGRESS, "");
        }
    }

    private void onClaim(
            final String key,
            final String fingerprint,
            final KeyedCall call,
            final ClaimResult result) {
        switch (result) {
            case ClaimResult.Granted granted -> {
                mLock.run(
                        () -> {
                            mTable.markHeld(key);
                            mClaimVersions.put(key, granted.version());
                        });
                call.onKeyAcquired();
            }
            case ClaimResult.Held held when mClaimStore.isOwnHost(held.host()) ->
                    removeAndNotify(key, call, KeyedCall::onKeyOutcomeUnknown);
            case ClaimResult.Held held ->
                    removeAndNotify(
                            key, call, c -> c.onKeyRefused(ErrorCode.CLAIM_HELD, held.host()));
            case ClaimResult.Finished finished -> {
                final boolean same = finished.fingerprint().equals(fingerprint);
                removeAndNotify(
                        key,
                        call,
                        c -> {
                            if (same) {
                                c.onKeyReplayed(finished.response());
                            } else {
                                c.onKeyRefused(ErrorCode.KEY_REUSED, "");
                            }
                        });
            }
            case ClaimResult.Unavailable unavailable ->
                    removeAndNotify(
                            key, call, c -> c.onKeyRefused(ErrorCode.CLAIM_UNAVAILABLE, ""));
        }
    }

    private void removeAndNotify(
            final String key, final KeyedCall call, final Consumer<KeyedCall> event) {
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.remove(key);
                            return takeWaiting(key);
                        });
        event.accept(call);
        waiting.forEach(event);
    }

    // -- run

    /**
     * Marks a key as started. Returns whether the call may be sent to the target; called
     * immediately before it is sent.
     */
    boolean start(final String key) {
        return mLock.get(() -> mTable.markStarted(key));
    }

    void finish(
            final String key, final String fingerprint, final Optional<StoredResponse> response) {
        final long version = mLock.get(() -> mClaimVersions.getOrDefault(key, 0L));
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.markFinished(key, response);
                            return takeWaiting(key);
                        });
        for (final KeyedCall call : waiting) {
            response.ifPresentOrElse(call::onKeyReplayed, call::onKeyOutcomeUnknown);
        }
        response.ifPresent(
                stored ->
                        mClaimStore
                                .recordResponse(key, version, fingerprint, stored)
                                .thenAccept(
                                        newVersion ->
                                                newVersion.ifPresent(
                                                        v -> updateClaimVersion(key, v))));
    }

    private void updateClaimVersion(final String key, final long version) {
        mLock.run(() -> mClaimVersions.computeIfPresent(key, (k, old) -> version));
    }

    /** Releases a key whose call the target reported as not run. */
    void releaseNotRun(final String key) {
        mLock.run(() -> mTable.markNotRun(key));
        release(key);
    }

    void markOutcomeUnknown(final String key) {
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.markUnknown(key);
                            return takeWaiting(key);
                        });
        waiting.forEach(KeyedCall::onKeyOutcomeUnknown);
    }

    /**
     * Releases a key that was held and not started: deletes its claim and refuses the waiting
     * calls.
     */
    void release(final String key) {
        final Optional<Long> version =
                mLock.get(
                        () ->
                                mTable.markReleasing(key)
                                        ? Optional.ofNullable(mClaimVersions.remove(key))
                                        : Optional.empty());
        if (version.isEmpty()) {
            return;
        }
        final List<KeyedCall> waiting = mLock.get(() -> takeWaiting(key));
        waiting.forEach(call -> call.onKeyRefused(ErrorCode.KEY_IN_PROGRESS, ""));
        mClaimStore
                .release(key, version.get())
                .thenAccept(released -> mLock.run(() -> mTable.remove(key)));
    }

    private List<KeyedCall> takeWaiting(final String key) {
        final List<KeyedCall> waiting = mWaitingCalls.remove(key);
        return waiting == null ? List.of() : waiting;
    }

    // -- expiry

    /** Removes keys whose resend window has passed and deletes their claims. */
    void expire(final long nowNanos) {
        final Map<String, Long> expired = new HashMap<>();
        mLock.run(
                () -> {
                    for (final String key : mTable.expire(nowNanos)) {
                        final Long version = mClaimVersions.remove(key);
                        expired.put(key, version == null ? 0L : version);
                    }
                });
        expired.forEach(mClaimStore::release);
    }

    int size() {
        return mLock.get(mTable::size);
    }
}
