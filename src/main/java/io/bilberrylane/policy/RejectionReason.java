package io.bilberrylane.policy;

import java.util.Locale;

/** Why a request is refused for want of a key. */
public enum RejectionReason {
    /** It has no key, and the local target runs nothing for which it could be made. */
    MISSING,
    /** Its Authorization field is not exactly one key of the expected scheme. */
    MALFORMED,
    /** No organisation of the configuration in force holds its key. */
    UNKNOWN;

    /**
     * Returns the reason as written in logs and metrics.
     *
     * @return the name in lower case
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
