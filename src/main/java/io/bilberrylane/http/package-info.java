/**
 * Implements HTTP/1.1 on both sides of a node: the server for callers and the connections to the
 * target. May call {@code base}, {@code net}, {@code catalogue}, {@code policy}, {@code
 * membership}, {@code outcome} and {@code peer}.
 */
package io.bilberrylane.http;
