package io.bilberrylane.membership;

import java.util.Objects;

/**
 * A datagram to send.
 *
 * @param peerAddress the receiver's IP and port
 * @param message what to send
 */
public record OutgoingDatagram(String peerAddress, SwimMessage message) {
    /** Checks that both parts are present. */
    public OutgoingDatagram {
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(message, "message is null");
    }
}
