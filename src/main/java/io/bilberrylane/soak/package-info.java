/**
 * Fault injection for a fleet of real processes: a seeded plan of faults, and a proxy on loopback
 * that injects faults into the connections through it. The script {@code bin/soak} runs the plan.
 */
package io.bilberrylane.soak;
