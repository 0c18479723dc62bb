package io.bilberrylane.soak;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The fault that a proxy injects into its connections. */
public enum ProxyFault {
    /** Bytes are forwarded in both directions. */
    NONE,
    /** Bytes are forwarded in both directions, each read after a fixed delay. */
    DELAY,
    /** Open connections are reset, and each new connection is reset when it is accepted. */
    RESET,
    /** Open connections stay open, and bytes are dropped in both directions. */
    SILENT,
    /** Bytes are forwarded to the server, and its answers are dropped. */
    ONE_WAY;

    /**
     * Returns the fault with a name.
     *
     * @param name the name in lower case, with hyphens
     * @return the fault; empty if no fault has the name
     */
    public static Optional<ProxyFault> ofName(final String name) {
        return Arrays.stream(values()).filter(fault -> fault.wireName().equals(name)).findFirst();
    }

    /**
     * Returns the name used in plans and in requests to {@link ProxyControl}.
     *
     * @return the name in lower case, with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
