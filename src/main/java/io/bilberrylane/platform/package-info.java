/**
 * Adapts the node to the users' platform: a typed client of its object API whose requests and
 * watches have timeouts, its configuration format, its header names and its workers' heartbeats.
 * Wire names are decoded here once into this project's own. May use {@code base}, {@code net},
 * {@code catalogue}, {@code membership} and {@code http}.
 */
package io.bilberrylane.platform;
