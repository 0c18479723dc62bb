package io.bilberrylane.http;

import java.util.Optional;

/**
 * The load that a target tells in its answers.
 *
 * @param running requests in service
 * @param waiting requests that wait at the target
 * @param slots requests that it serves at once
 * @param speedPercent how long work takes now, in percent of normal
 */
public record LoadHeader(int running, int waiting, int slots, int speedPercent) {
    private static final int NORMAL_SPEED = 100;

    /**
     * Returns the load of a header's value.
     *
     * @param value three or four numbers with commas between them; null when there is no header
     * @return the load, or nothing when the value is none
     */
    public static Optional<LoadHeader> parse(final String value) {
        if (value == null) {
            return Optional.empty();
        }
        final String[] parts = value.split(",");
        if (parts.length < 3) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new LoadHeader(
                            Integer.parseInt(parts[0].trim()),
                            Integer.parseInt(parts[1].trim()),
                            Integer.parseInt(parts[2].trim()),
                            parts.length > 3 ? Integer.parseInt(parts[3].trim()) : NORMAL_SPEED));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
