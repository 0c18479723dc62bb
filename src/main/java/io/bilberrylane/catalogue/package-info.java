/**
 * The operators' catalogue of services and routes: its records, and the reader that parses and
 * validates its text format and reports findings. May call {@code base}.
 */
package io.bilberrylane.catalogue;
