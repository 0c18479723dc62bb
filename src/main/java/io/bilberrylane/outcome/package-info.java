/**
 * Owns the pure state of at-most-once execution: call phases, tombstones and idempotency keys. May
 * call {@code base}.
 */
package io.bilberrylane.outcome;
