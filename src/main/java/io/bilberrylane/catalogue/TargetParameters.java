package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * The parameters that apply to every target of a service.
 *
 * @param connections the maximum number of connections that a target accepts; 0 if its announcement
 *     sets it
 * @param coldMillis the time for which a target stays cold after its start, in milliseconds
 * @param coldRatePerSecond the maximum number of requests per second to a cold target; 0 if
 *     unlimited
 * @param probePath the path at which a target reports its state; empty if there is none
 */
public record TargetParameters(
        int connections, long coldMillis, double coldRatePerSecond, String probePath) {
    /** The parameters of an entry that sets none. */
    public static final TargetParameters DEFAULT = new TargetParameters(0, 0, 0, "");

    /**
     * Checks the ranges of the parameters.
     *
     * @throws IllegalArgumentException if a number is negative or {@code coldRatePerSecond} is NaN
     */
    public TargetParameters {
        Objects.requireNonNull(probePath, "probePath is null");
        if (connections < 0 || coldMillis < 0 || !(coldRatePerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "connections, coldMillis or coldRatePerSecond is negative");
        }
    }
}
