/**
 * Contains the event loops and channel types that all network code shares, and a simple HTTP
 * client. Calls no other package.
 */
package io.bilberrylane.net;
