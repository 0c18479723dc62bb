package io.bilberrylane.capacity;

import java.util.Objects;

/**
 * The measured value of a metric at one size.
 *
 * @param metric the measured metric
 * @param size the size of the varied quantity
 * @param value the measured value
 * @param unit the unit of the value
 */
public record MeasuredPoint(String metric, long size, double value, String unit) {
    /** Checks that the metric and the unit are not null. */
    public MeasuredPoint {
        Objects.requireNonNull(metric, "metric is null");
        Objects.requireNonNull(unit, "unit is null");
    }
}
