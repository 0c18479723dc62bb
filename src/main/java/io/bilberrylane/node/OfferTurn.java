package io.bilberrylane.node;

/**
 * The right to offer one call to the next gate. A call has at most one valid turn; it is lost once
 * the call is at a gate again or has ended, so that whoever waited with it does nothing. Compared
 * by identity.
 */
final class OfferTurn {}
