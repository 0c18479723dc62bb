package io.bilberrylane.policy;

import io.bilberrylane.base.ErrorCode;
import java.util.Objects;
import java.util.Optional;

/** The decision of a gate on an admission request. */
public sealed interface AdmissionDecision {
    /** The call holds a slot. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The call waits in the queue; it is admitted or refused later.
     *
     * @param preempted the waiting call that has left the full queue for it
     */
    record Queued(Optional<AdmissionRequest> preempted) implements AdmissionDecision {
        /** Checks that {@code preempted} is not null. */
        public Queued {
            Objects.requireNonNull(preempted, "preempted is null");
        }

        /** Creates the decision for a queue that was not full. */
        public Queued() {
            this(Optional.empty());
        }
    }

    /**
     * The call was not run.
     *
     * @param code the reason for the refusal
     */
    record Refused(ErrorCode code) implements AdmissionDecision {
        /** Checks that {@code code} is present. */
        public Refused {
            Objects.requireNonNull(code, "code is null");
        }
    }
}
