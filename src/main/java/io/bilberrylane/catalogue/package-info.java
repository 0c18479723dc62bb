/**
 * Owns the operators' catalogue: its records, its checked text format and its findings. May call
 * {@code base}.
 */
package io.bilberrylane.catalogue;
