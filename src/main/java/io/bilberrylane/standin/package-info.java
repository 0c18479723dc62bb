/**
 * Owns small stand-ins for the outside systems: the platform's object API and a target. May call
 * {@code base}, {@code net} and {@code platform} for the format of objects.
 */
package io.bilberrylane.standin;
