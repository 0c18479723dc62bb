package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * What holds for every target of a service.
 *
 * @param connections connections that a target accepts; 0 when its announcement says
 * @param coldMillis how long a started target stays cold, in milliseconds
 * @param coldRatePerSecond requests per second that a cold target bears; 0 without a limit
 * @param probePath the path that answers with the target's state; empty when there is none
 */
public record TargetParameters(
        int connections, long coldMillis, double coldRatePerSecond, String probePath) {
    /** What holds for an entry that says nothing of its targets. */
    public static final TargetParameters DEFAULT = new TargetParameters(0, 0, 0, "");

    /** Checks that no limit is negative. */
    public TargetParameters {
        Objects.requireNonNull(probePath, "probePath is null");
        if (connections < 0 || coldMillis < 0 || !(coldRatePerSecond >= 0)) {
            throw new IllegalArgumentException("a limit of the targets is negative");
        }
    }
}
