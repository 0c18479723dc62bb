package io.bilberrylane.capacity;

import java.util.Objects;

/**
 * One measured point.
 *
 * @param matter what was measured
 * @param size how large the varied quantity was
 * @param figure what was seen
 * @param unit the figure's unit
 */
public record Slope(String matter, long size, double figure, String unit) {
    /** Checks that every part is present. */
    public Slope {
        Objects.requireNonNull(matter, "matter is null");
        Objects.requireNonNull(unit, "unit is null");
    }
}
