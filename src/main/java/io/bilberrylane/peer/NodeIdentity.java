package io.bilberrylane.peer;

import java.util.Objects;

/**
 * Who this process is.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre
 * @param incarnation the start of the process, in milliseconds since 1970
 */
public record NodeIdentity(String host, String dataCentre, long incarnation) {
    /** Checks that every part is present. */
    public NodeIdentity {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
    }

    /**
     * Returns the first message on a link.
     *
     * @return a greeting
     */
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(PeerMessage.PROTOCOL_VERSION, host, incarnation);
    }
}
