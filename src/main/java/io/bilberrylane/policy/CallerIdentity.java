package io.bilberrylane.policy;

import io.bilberrylane.catalogue.Organisation;
import java.util.Objects;

/** Who makes a call, by a version of the configuration. */
public sealed interface CallerIdentity {
    /** The configuration has no organisations; callers need no key. */
    record Open() implements CallerIdentity {}

    /**
     * An organisation that was recognised by its key.
     *
     * @param organisation the organisation
     */
    record Known(Organisation organisation) implements CallerIdentity {
        /** Checks for null. */
        public Known {
            Objects.requireNonNull(organisation, "organisation is null");
        }
    }

    /** The local target, on behalf of a request that it runs. */
    record Nested() implements CallerIdentity {}

    /** A caller of a public route without a known key. */
    record Anonymous() implements CallerIdentity {}

    /**
     * A caller that must be refused.
     *
     * @param reason why
     */
    record Rejected(RejectionReason reason) implements CallerIdentity {
        /** Checks for null. */
        public Rejected {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
