package io.bilberrylane.policy;

import io.bilberrylane.base.ErrorCode;
import java.util.Objects;

/** The decision of a gate on an admission request. */
public sealed interface AdmissionDecision {
    /** The call holds a slot. */
    record Admitted() implements AdmissionDecision {}

    /** The call waits in the queue; it is admitted or refused later. */
    record Queued() implements AdmissionDecision {}

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
