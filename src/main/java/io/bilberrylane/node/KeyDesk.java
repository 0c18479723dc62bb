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

/** Decides on calls with an idempotency key at one gate. */
final class KeyDesk {
    private final RankedLock mLock = RankedLock.of(LockRank.OUTCOME);
    private final KeyTable<KeptAnswer> mTable = KeyTable.empty();
    private final Map<String, List<KeyedCall>> mWaiting = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final ClaimStore mClaims;

    KeyDesk(final ClaimStore claims) {
        mClaims = claims;
    }

    // -- begin

    void begin(
            final String key,
            final String fingerprint,
            final long windowNanos,
            final KeyedCall call) {
        final KeyDecision<KeptAnswer> decision =
                mLock.get(
                        () -> {
                            final KeyDecision<KeptAnswer> made =
                                    mTable.begin(key, fingerprint, windowNanos, System.nanoTime());
                            if (made instanceof KeyDecision.Wait) {
                                mWaiting.computeIfAbsent(key, k -> new ArrayList<>()).add(call);
                            }
                            return made;
                        });
        switch (decision) {
            case KeyDecision.Claim<KeptAnswer> claim ->
                    mClaims.claim(key, fingerprint)
                            .thenAccept(result -> onClaim(key, fingerprint, call, result));
            case KeyDecision.Wait<KeptAnswer> wait -> {}
            case KeyDecision.Replay<KeptAnswer> replay -> call.onKeyAnswered(replay.answer());
            case KeyDecision.Unknown<KeptAnswer> unknown -> call.onKeyUnknown();
            case KeyDecision.Reused<KeptAnswer> reused ->
                    call.onKeyRefused(ErrorCode.KEY_REUSED, "");
            case KeyDecision.Busy<KeptAnswer> busy ->
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
                            mTable.held(key);
                            mVersions.put(key, granted.version());
                        });
                call.onKeyHeld();
            }
            case ClaimResult.Held held when mClaims.isOwnHost(held.host()) ->
                    forget(key, call, KeyedCall::onKeyUnknown);
            case ClaimResult.Held held ->
                    forget(key, call, c -> c.onKeyRefused(ErrorCode.CLAIM_HELD, held.host()));
            case ClaimResult.Answered answered -> {
                final boolean same = answered.fingerprint().equals(fingerprint);
                forget(
                        key,
                        call,
                        c -> {
                            if (same) {
                                c.onKeyAnswered(answered.answer());
                            } else {
                                c.onKeyRefused(ErrorCode.KEY_REUSED, "");
                            }
                        });
            }
            case ClaimResult.Unavailable unavailable ->
                    forget(key, call, c -> c.onKeyRefused(ErrorCode.CLAIM_UNAVAILABLE, ""));
        }
    }

    private void forget(final String key, final KeyedCall call, final Consumer<KeyedCall> event) {
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.forget(key);
                            return takeWaiting(key);
                        });
        event.accept(call);
        waiting.forEach(event);
    }

    // -- run

    /** Returns whether the target may see the call; decided right before it does. */
    boolean start(final String key) {
        return mLock.get(() -> mTable.started(key));
    }

    void finish(final String key, final String fingerprint, final Optional<KeptAnswer> answer) {
        final long version = mLock.get(() -> mVersions.getOrDefault(key, 0L));
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.finished(key, answer);
                            return takeWaiting(key);
                        });
        for (final KeyedCall call : waiting) {
            answer.ifPresentOrElse(call::onKeyAnswered, call::onKeyUnknown);
        }
        answer.ifPresent(
                kept ->
                        mClaims.recordAnswer(key, version, fingerprint, kept)
                                .thenAccept(newer -> newer.ifPresent(v -> keepVersion(key, v))));
    }

    private void keepVersion(final String key, final long version) {
        mLock.run(() -> mVersions.computeIfPresent(key, (k, old) -> version));
    }

    /** The target said that it did not run the call. */
    void disown(final String key) {
        mLock.run(() -> mTable.disowned(key));
        release(key);
    }

    void breakOff(final String key) {
        final List<KeyedCall> waiting =
                mLock.get(
                        () -> {
                            mTable.broken(key);
                            return takeWaiting(key);
                        });
        waiting.forEach(KeyedCall::onKeyUnknown);
    }

    /** Gives a key back that was held and not started. */
    void release(final String key) {
        final Optional<Long> version =
                mLock.get(
                        () ->
                                mTable.releasing(key)
                                        ? Optional.ofNullable(mVersions.remove(key))
                                        : Optional.empty());
        if (version.isEmpty()) {
            return;
        }
        final List<KeyedCall> waiting = mLock.get(() -> takeWaiting(key));
        waiting.forEach(call -> call.onKeyRefused(ErrorCode.KEY_IN_PROGRESS, ""));
        mClaims.release(key, version.get()).thenAccept(gone -> mLock.run(() -> mTable.forget(key)));
    }

    private List<KeyedCall> takeWaiting(final String key) {
        final List<KeyedCall> waiting = mWaiting.remove(key);
        return waiting == null ? List.of() : waiting;
    }

    // -- upkeep

    /** Forgets keys whose window has passed and deletes their claims. */
    void expire(final long nowNanos) {
        final Map<String, Long> expired = new HashMap<>();
        mLock.run(
                () -> {
                    for (final String key : mTable.expire(nowNanos)) {
                        final Long version = mVersions.remove(key);
                        expired.put(key, version == null ? 0L : version);
                    }
                });
        expired.forEach(mClaims::release);
    }

    int size() {
        return mLock.get(mTable::size);
    }
}
