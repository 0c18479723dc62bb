package io.bilberrylane.ctl;

/**
 * The result of an accepted change.
 *
 * @param revision the revision that the change created
 * @param confirmedByChangeId whether the platform's response was lost and the change was found in
 *     the platform by its change ID
 */
public record ApplyOutcome(long revision, boolean confirmedByChangeId) {}
