package io.bilberrylane.node;

import java.util.Objects;

/** What the platform said to a claim for an idempotency key. */
sealed interface ClaimResult {
    /** The key is ours; no other gate runs it. */
    record Granted(long version) implements ClaimResult {}

    /** Another gate holds the key. */
    record Held(String host, long incarnation) implements ClaimResult {
        public Held {
            Objects.requireNonNull(host, "host is null");
        }
    }

    /** The key ran elsewhere and its answer is recorded. */
    record Finished(String fingerprint, StoredResponse response) implements ClaimResult {
        public Finished {
            Objects.requireNonNull(response, "answer is null");
        }
    }

    /** The platform did not say; nothing may run. */
    record Unavailable() implements ClaimResult {}
}
