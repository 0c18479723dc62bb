/**
 * Owns the event loops and channel types that every network part shares. Calls no other package.
 */
package io.bilberrylane.net;
