package io.bilberrylane.policy;

import io.bilberrylane.base.ErrorCode;
import java.util.Objects;

/** The answer of a gate to a ticket. */
public sealed interface AdmissionDecision {
    /** The call holds a slot. */
    record Admitted() implements AdmissionDecision {}

    /** The call waits; it will be admitted or refused later. */
    record Queued() implements AdmissionDecision {}

    /**
     * The call was not run.
     *
     * @param code why
     */
    record Refused(ErrorCode code) implements AdmissionDecision {
        /** Checks that there is a reason. */
        public Refused {
            Objects.requireNonNull(code, "code is null");
        }
    }
}
