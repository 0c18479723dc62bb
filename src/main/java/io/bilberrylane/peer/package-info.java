/**
 * Implements the protocol between nodes: typed messages, their MessagePack codec, multiplexed
 * streams with credit-based flow control, and the links that carry them. May call {@code base},
 * {@code policy}, {@code membership} and {@code outcome}.
 */
package io.bilberrylane.peer;
