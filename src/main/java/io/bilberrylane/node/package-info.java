/**
 * Owns the daemon: wires ingress, gate, membership and configuration to each other. May call every
 * package but {@code cli}, {@code ctl}, {@code load} and {@code standin}.
 */
package io.bilberrylane.node;
