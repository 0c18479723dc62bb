package io.bilberrylane.ctl;

/**
 * An accepted change.
 *
 * @param revision the revision that it made
 * @param confirmedByChangeId whether the platform's answer was lost and the change recognised by
 *     its identity
 */
public record ApplyOutcome(long revision, boolean confirmedByChangeId) {}
