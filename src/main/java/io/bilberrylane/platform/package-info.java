/**
 * Owns the way to the platform's object API: a typed client with bounded calls and watches. May
 * call {@code base} and {@code peer} for the transport.
 */
package io.bilberrylane.platform;
