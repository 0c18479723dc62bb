package io.bilberrylane.policy;

import java.util.Objects;

/**
 * What nodes tell each other about one roll-out.
 *
 * @param service the service
 * @param version the new version
 * @param generation the revision at which the order was written; 0 if the node has not seen it
 * @param phase the phase
 * @param ageMillis how long the order is known, in milliseconds
 * @param known whether the sender has the state of the order, so that its word may be relied on
 * @param reason why the roll-out was stopped; empty if it was not
 */
public record RolloutSummary(
        String service,
        String version,
        long generation,
        RolloutPhase phase,
        long ageMillis,
        boolean known,
        String reason) {
    /** Checks that no component is null. */
    public RolloutSummary {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(phase, "phase is null");
        Objects.requireNonNull(reason, "reason is null");
    }
}
