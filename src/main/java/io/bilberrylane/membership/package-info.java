/**
 * Owns the pure view of members: liveness, suspicion, incarnations, announced targets and what to
 * pass on. May call {@code base}.
 */
package io.bilberrylane.membership;
