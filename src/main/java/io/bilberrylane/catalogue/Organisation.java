package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * An organisation whose callers identify themselves by a key.
 *
 * @param name the name that targets receive
 * @param keyDigests the digests of its keys
 * @param priority the priority of its calls, which takes precedence over that of the route; 0 is
 *     served first; empty if the route's applies
 * @param ratePerSecond the calls per second that it may make over all nodes; 0 if unlimited
 * @param burst the calls that it may make in addition to the rate
 */
public record Organisation(
        String name,
        List<KeyDigest> keyDigests,
        OptionalInt priority,
        double ratePerSecond,
        double burst) {
    private static final int MAX_NAME_CHARS = 128;
    private static final Pattern NAME =
            Pattern.compile("[!-~]([ -~]{0," + (MAX_NAME_CHARS - 2) + "}[!-~])?");

    /**
     * Checks the components and copies the digests.
     *
     * @throws IllegalArgumentException if the name cannot be sent in a header field, or the
     *     priority, rate or burst is negative or not finite
     */
    public Organisation {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(priority, "priority is null");
        keyDigests = List.copyOf(keyDigests);
        if (!isName(name)) {
            throw new IllegalArgumentException(
                    "the name of an organisation is empty, longer than "
                            + MAX_NAME_CHARS
                            + " characters or not printable ASCII");
        }
        if (priority.orElse(0) < 0 || !isLimit(ratePerSecond) || !isLimit(burst)) {
            throw new IllegalArgumentException(
                    "the priority, rate or burst of an organisation is negative or not finite");
        }
    }

    /**
     * Returns whether a text may be the name of an organisation.
     *
     * @param text the text
     * @return true if it can be sent in a header field as it is
     */
    static boolean isName(final String text) {
        return NAME.matcher(text).matches();
    }

    private static boolean isLimit(final double value) {
        return value >= 0 && Double.isFinite(value);
    }

    /**
     * Returns whether the calls of the organisation are limited.
     *
     * @return true if a rate or a burst is set
     */
    public boolean isLimited() {
        return ratePerSecond > 0 || burst > 0;
    }
}
