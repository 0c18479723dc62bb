package io.bilberrylane.node;

import java.util.Objects;

/** The result of a claim for an idempotency key. */
sealed interface ClaimResult {
    /** This gate holds the claim; no other gate runs the key. */
    record Granted(long version) implements ClaimResult {}

    /** Another gate, or an earlier process on this host, holds the claim. */
    record Held(String host, long incarnation) implements ClaimResult {
        public Held {
            Objects.requireNonNull(host, "host is null");
        }
    }

    /** The key was run elsewhere and its response is recorded in the claim. */
    record Finished(String fingerprint, StoredResponse response) implements ClaimResult {
        public Finished {
            Objects.requireNonNull(response, "response is null");
        }
    }

    /** The platform did not confirm the claim; the call must not run. */
    record Unavailable() implements ClaimResult {}
}
