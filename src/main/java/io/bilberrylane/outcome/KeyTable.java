package io.bilberrylane.outcome;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Remembers the idempotency keys that one gate holds. A key moves from claiming to held to started,
 * and from there to finished or unknown; a key that was not started can be released. Not
 * thread-safe.
 *
 * @param <A> what is remembered of an answer
 */
public final class KeyTable<A> {
    /** How far the run of a key got. */
    public enum KeyState {
        /** The claim is being recorded. */
        CLAIMING,
        /** The claim is recorded; the target has not seen a byte. */
        HELD,
        /** The target may have seen the call. */
        STARTED,
        /** The target answered. */
        FINISHED,
        /** The run began and its end is not known. */
        UNKNOWN,
        /** The key was not run; the claim is being given back. */
        RELEASING
    }

    private static final class Entry<A> {
        private final String mFingerprint;
        private KeyState mState = KeyState.CLAIMING;
        private Optional<A> mResponse = Optional.empty();
        private long mExpiresNanos;

        private Entry(final String fingerprint, final long expiresNanos) {
            mFingerprint = fingerprint;
            mExpiresNanos = expiresNanos;
        }
    }

    private final Map<String, Entry<A>> mEntries = new HashMap<>();

    private KeyTable() {}

    /**
     * Returns a table without keys.
     *
     * @param <A> what is remembered of an answer
     * @return the table
     */
    public static <A> KeyTable<A> empty() {
        return new KeyTable<>();
    }

    // -- queries

    /**
     * Returns how far a key got.
     *
     * @param key the key
     * @return its state, or nothing when it is not here
     */
    public Optional<KeyState> state(final String key) {
        return Optional.ofNullable(mEntries.get(key)).map(entry -> entry.mState);
    }

    /**
     * Returns the number of keys.
     *
     * @return a count
     */
    public int size() {
        return mEntries.size();
    }

    // -- transitions

    /**
     * Begins a call with a key.
     *
     * @param key the key, unique for its service
     * @param fingerprint what must be the same in every sending
     * @param windowNanos how long the key is remembered, in nanoseconds
     * @param nowNanos the monotonic clock
     * @return what to do; only {@link KeyDecision.Claim} may lead to a run
     */
    public KeyDecision<A> begin(
            final String key,
            final String fingerprint,
            final long windowNanos,
            final long nowNanos) {
        Objects.requireNonNull(key, "key is null");
        final Entry<A> entry = mEntries.get(key);
        if (entry == null) {
            mEntries.put(key, new Entry<>(fingerprint, nowNanos + windowNanos));
            return new KeyDecision.Claim<>();
        }
        if (!entry.mFingerprint.equals(fingerprint)) {
            return new KeyDecision.Reused<>();
        }
        return switch (entry.mState) {
            case CLAIMING, HELD, STARTED -> new KeyDecision.Wait<>();
            case FINISHED ->
                    entry.mResponse.isPresent()
                            ? new KeyDecision.Replay<>(entry.mResponse.get())
                            : new KeyDecision.Unknown<>();
            case UNKNOWN -> new KeyDecision.Unknown<>();
            case RELEASING -> new KeyDecision.Busy<>();
        };
    }

    /**
     * The claim was recorded.
     *
     * @param key the key
     * @return false when the key is not being claimed
     */
    public boolean markHeld(final String key) {
        return transition(key, KeyState.CLAIMING, KeyState.HELD);
    }

    /**
     * The target is about to see the call.
     *
     * @param key the key
     * @return false when the claim is not held; the target must not see the call
     */
    public boolean markStarted(final String key) {
        return transition(key, KeyState.HELD, KeyState.STARTED);
    }

    /**
     * The target answered.
     *
     * @param key the key
     * @param response the answer, if it is remembered
     * @return false when the key was not started
     */
    public boolean markFinished(final String key, final Optional<A> response) {
        if (!transition(key, KeyState.STARTED, KeyState.FINISHED)) {
            return false;
        }
        mEntries.get(key).mResponse = response;
        return true;
    }

    /**
     * The run's end will never be known.
     *
     * @param key the key
     * @return false when the key was not started
     */
    public boolean markUnknown(final String key) {
        return transition(key, KeyState.STARTED, KeyState.UNKNOWN);
    }

    /**
     * The target said that it did not run the call; the key is held again.
     *
     * @param key the key
     * @return false when the key was not started
     */
    public boolean markNotRun(final String key) {
        return transition(key, KeyState.STARTED, KeyState.HELD);
    }

    /**
     * The key was not started and its claim must be given back.
     *
     * @param key the key
     * @return false when the key was started or is not here
     */
    public boolean markReleasing(final String key) {
        return transition(key, KeyState.HELD, KeyState.RELEASING);
    }

    /**
     * Forgets a key that certainly has not run here.
     *
     * @param key the key
     * @return false when the key was started or is not here
     */
    public boolean forget(final String key) {
        final Entry<A> entry = mEntries.get(key);
        final boolean notRun =
                entry != null
                        && (entry.mState == KeyState.CLAIMING
                                || entry.mState == KeyState.RELEASING);
        if (notRun) {
            mEntries.remove(key);
        }
        return notRun;
    }

    /**
     * Forgets settled keys whose window has passed.
     *
     * @param nowNanos the monotonic clock
     * @return the keys, whose claims may now be deleted
     */
    public List<String> expire(final long nowNanos) {
        final List<String> expired = new ArrayList<>();
        mEntries.forEach(
                (key, entry) -> {
                    final boolean isTerminal =
                            entry.mState == KeyState.FINISHED || entry.mState == KeyState.UNKNOWN;
                    if (isTerminal && nowNanos - entry.mExpiresNanos >= 0) {
                        expired.add(key);
                    }
                });
        expired.forEach(mEntries::remove);
        return expired;
    }

    private boolean transition(final String key, final KeyState from, final KeyState to) {
        final Entry<A> entry = mEntries.get(key);
        if (entry == null || entry.mState != from) {
            return false;
        }
        entry.mState = to;
        return true;
    }
}
