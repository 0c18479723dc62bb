package io.bilberrylane.membership;

import java.util.Objects;

/**
 * A datagram to send.
 *
 * @param peerAddress the receiver's IP address and port
 * @param message the message to send
 */
public record OutgoingDatagram(String peerAddress, SwimMessage message) {
    /** Checks that no component is null. */
    public OutgoingDatagram {
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(message, "message is null");
    }
}
