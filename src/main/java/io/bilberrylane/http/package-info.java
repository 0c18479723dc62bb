/**
 * Owns HTTP/1.1 on both faces of a node: the ingress for callers and the connections to the target.
 * May call {@code base}, {@code catalogue}, {@code policy}, {@code outcome} and {@code peer}.
 */
package io.bilberrylane.http;
