/**
 * Decisions on calls as pure logic: admission at the gate, choice of a target, retries and
 * quarantine. No class here reads a clock, starts a thread or does I/O. May call {@code base} and
 * {@code catalogue}.
 */
package io.bilberrylane.policy;
