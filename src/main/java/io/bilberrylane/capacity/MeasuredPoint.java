package io.bilberrylane.capacity;

import java.util.Objects;

/**
 * One measured point.
 *
 * @param metric what was measured
 * @param size how large the varied quantity was
 * @param value what was seen
 * @param unit the figure's unit
 */
public record MeasuredPoint(String metric, long size, double value, String unit) {
    /** Checks that every part is present. */
    public MeasuredPoint {
        Objects.requireNonNull(metric, "matter is null");
        Objects.requireNonNull(unit, "unit is null");
    }
}
