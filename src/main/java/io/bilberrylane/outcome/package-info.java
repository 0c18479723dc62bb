/**
 * State of at-most-once execution as pure logic: call phases, tombstones and idempotency keys. May
 * call {@code base}.
 */
package io.bilberrylane.outcome;
