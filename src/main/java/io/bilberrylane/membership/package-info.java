/**
 * Keeps a node's view of the members without doing any I/O: liveness, suspicion, incarnations,
 * announced targets and the records to gossip. May call {@code base}.
 */
package io.bilberrylane.membership;
