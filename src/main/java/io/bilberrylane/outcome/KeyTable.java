package io.bilberrylane.outcome;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Keeps the states of the idempotency keys at one gate. A key moves from claiming to held to
 * started, and from there to finished or unknown; a key that was not started can be released. Not
 * thread-safe.
 *
 * @param <A> the type of a stored response
 */
public final class KeyTable<A> {
    /** How far the run of a key has progressed. */
    public enum KeyState {
        /** The claim is being recorded. */
        CLAIMING,
        /** The claim is recorded; the target has not received a byte. */
        HELD,
        /** The target may have received the call. */
        STARTED,
        /** The target answered. */
        FINISHED,
        /** The run started and its end is not known. */
        UNKNOWN,
        /** The key was not run; its claim is being released. */
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
     * @param <A> the type of a stored response
     * @return the table
     */
    public static <A> KeyTable<A> empty() {
        return new KeyTable<>();
    }

    // -- queries

    /**
     * Returns the state of a key.
     *
     * @param key the key
     * @return its state, or empty if the key is not in the table
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
     * @param key the key, unique within its service
     * @param fingerprint the part of the request that must be equal each time the key is sent
     * @param windowNanos how long the key is kept, in nanoseconds
     * @param nowNanos the monotonic clock
     * @return the decision; only {@link KeyDecision.Claim} may lead to a run
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
     * Moves a key from claiming to held after its claim was recorded.
     *
     * @param key the key
     * @return false if the key is not being claimed
     */
    public boolean markHeld(final String key) {
        return transition(key, KeyState.CLAIMING, KeyState.HELD);
    }

    /**
     * Moves a key from held to started before the target receives the call.
     *
     * @param key the key
     * @return false if the claim is not held; the target must not receive the call
     */
    public boolean markStarted(final String key) {
        return transition(key, KeyState.HELD, KeyState.STARTED);
    }

    /**
     * Moves a key from started to finished after the target answered.
     *
     * @param key the key
     * @param response the response, or empty if it is not stored
     * @return false if the key is not started
     */
    public boolean markFinished(final String key, final Optional<A> response) {
        if (!transition(key, KeyState.STARTED, KeyState.FINISHED)) {
            return false;
        }
        mEntries.get(key).mResponse = response;
        return true;
    }

    /**
     * Moves a key from started to unknown, since the end of its run will never be known.
     *
     * @param key the key
     * @return false if the key is not started
     */
    public boolean markUnknown(final String key) {
        return transition(key, KeyState.STARTED, KeyState.UNKNOWN);
    }

    /**
     * Moves a key from started back to held after the target reported that it did not run the call.
     *
     * @param key the key
     * @return false if the key is not started
     */
    public boolean markNotRun(final String key) {
        return transition(key, KeyState.STARTED, KeyState.HELD);
    }

    /**
     * Moves a key from held to releasing, since it was not started and its claim must be released.
     *
     * @param key the key
     * @return false if the key is not held
     */
    public boolean markReleasing(final String key) {
        return transition(key, KeyState.HELD, KeyState.RELEASING);
    }

    /**
     * Removes a key that has certainly not run here.
     *
     * @param key the key
     * @return false if the key is neither being claimed nor being released
     */
    public boolean remove(final String key) {
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
     * Removes finished and unknown keys whose window has passed.
     *
     * @param nowNanos the monotonic clock
     * @return the removed keys, whose claims may now be deleted
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
