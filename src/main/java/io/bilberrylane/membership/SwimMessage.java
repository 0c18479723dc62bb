package io.bilberrylane.membership;

import java.util.List;

/** A message of the membership protocol; each is sent as one datagram. */
public sealed interface SwimMessage {
    /**
     * Returns the sender's host name.
     *
     * @return the host name
     */
    String from();

    /**
     * Returns the version of the sender's active configuration.
     *
     * @return the version; {@link ConfigurationVersion#NONE} if the sender has no configuration
     */
    ConfigurationVersion configurationVersion();

    /**
     * Returns the member records that the sender gossips.
     *
     * @return the member records
     */
    List<Member> updates();

    /**
     * Asks a member for an ack, to check that it is alive.
     *
     * @param from the sender's host name
     * @param sequence the sequence number, repeated in the ack
     * @param configurationVersion the version of the sender's active configuration
     * @param updates the member records that the sender gossips
     */
    record Ping(
            String from,
            long sequence,
            ConfigurationVersion configurationVersion,
            List<Member> updates)
            implements SwimMessage {
        /** Copies the updates. */
        public Ping {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Acknowledges a ping.
     *
     * @param from the sender's host name
     * @param sequence the sequence number of the ping
     * @param configurationVersion the version of the sender's active configuration
     * @param updates the member records that the sender gossips
     */
    record Ack(
            String from,
            long sequence,
            ConfigurationVersion configurationVersion,
            List<Member> updates)
            implements SwimMessage {
        /** Copies the updates. */
        public Ack {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Asks a member to ping a third member (SWIM's ping-req).
     *
     * @param from the sender's host name
     * @param sequence the sequence number, repeated in the ack
     * @param pingedHost the host to ping
     * @param configurationVersion the version of the sender's active configuration
     * @param updates the member records that the sender gossips
     */
    record PingRequest(
            String from,
            long sequence,
            String pingedHost,
            ConfigurationVersion configurationVersion,
            List<Member> updates)
            implements SwimMessage {
        /** Copies the updates. */
        public PingRequest {
            updates = List.copyOf(updates);
        }
    }
}
