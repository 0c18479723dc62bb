/**
 * Contains small stand-ins for the external systems: the platform's object API and a target. May
 * call {@code base}, {@code net}, {@code platform} for the format of objects, and {@code http} for
 * the names of headers.
 */
package io.bilberrylane.standin;
