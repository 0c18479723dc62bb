/**
 * Measures how bytes, time and memory grow with members, calls and entries, in one process and
 * mostly in virtual time. May call the pure packages and the codecs of {@code peer}.
 */
package io.bilberrylane.capacity;
