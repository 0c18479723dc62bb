package io.bilberrylane.http;

import java.util.Optional;

/**
 * The load that a target reports in its responses.
 *
 * @param running the number of requests in service
 * @param waiting the number of requests queued at the target
 * @param slots the number of requests that the target serves concurrently
 * @param speedPercent the current service time, in percent of the normal one
 */
public record LoadHeader(int running, int waiting, int slots, int speedPercent) {
    private static final int NORMAL_SPEED = 100;

    /**
     * Parses the value of a load header.
     *
     * @param value three or four comma-separated integers; null if there is no header
     * @return the load; empty if the value is null or malformed
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
