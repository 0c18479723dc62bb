package io.bilberrylane.base;

/** The severity of a finding. */
public enum Severity {
    /** The checked input is not applied if it has a finding of this severity. */
    ERROR,
    /** Should be reviewed; does not prevent the input from being applied. */
    WARNING
}
