/**
 * The daemon: connects ingress, gate, membership and configuration. May depend on every package
 * except {@code cli}, {@code ctl}, {@code load} and {@code standin}.
 */
package io.bilberrylane.node;
