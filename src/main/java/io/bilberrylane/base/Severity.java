package io.bilberrylane.base;

/** How grave a finding is. */
public enum Severity {
    /** Nothing is applied while a finding of this severity stands. */
    ERROR,
    /** Worth a look; does not stop an application. */
    WARNING
}
