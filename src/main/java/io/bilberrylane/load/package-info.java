/**
 * Owns the load and experiment tool: open-loop arrivals, checks of every answer against its own
 * request, and checks of the targets' records. May call {@code base} and {@code net}.
 */
package io.bilberrylane.load;
