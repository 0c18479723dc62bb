/**
 * Owns what operators do: the accepted catalogue in the platform and the state of nodes. May call
 * {@code base}, {@code catalogue}, {@code net} and {@code platform}.
 */
package io.bilberrylane.ctl;
