/**
 * Owns the pure decisions on calls: admission at the gate and choice of a target. No class here
 * reads a clock, starts a thread or does I/O; may call {@code base} and {@code catalogue}.
 */
package io.bilberrylane.policy;
