package io.bilberrylane.peer;

import java.util.Objects;

/**
 * The identity of a node's process.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre of the node
 * @param incarnation the start time of the process, in milliseconds since 1970
 */
public record NodeIdentity(String host, String dataCentre, long incarnation) {
    /** Stands for a process whose incarnation is not known. */
    public static final long UNKNOWN_INCARNATION = 0;

    /** Checks that host and data centre are not null. */
    public NodeIdentity {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
    }

    /**
     * Returns the first message on a link.
     *
     * @return the hello message of this process
     */
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(PeerMessage.PROTOCOL_VERSION, host, incarnation);
    }
}
