package io.bilberrylane.membership;

import java.util.List;

/** A datagram of the membership protocol. */
public sealed interface SwimMessage {
    /**
     * Returns the sender's host.
     *
     * @return a host name
     */
    String from();

    /**
     * Returns the version of the configuration in force at the sender.
     *
     * @return NONE when it has none
     */
    ConfigurationVersion configurationVersion();

    /**
     * Returns what the sender passes on.
     *
     * @return member records
     */
    List<Member> updates();

    /**
     * Asks a member whether it lives.
     *
     * @param from the sender
     * @param sequence repeated in the answer
     * @param configurationVersion the configuration in force at the sender
     * @param updates what the sender passes on
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
     * Answers a ping.
     *
     * @param from the sender
     * @param sequence that of the ping
     * @param configurationVersion the configuration in force at the sender
     * @param updates what the sender passes on
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
     * Asks a member to ping a third one.
     *
     * @param from the sender
     * @param sequence repeated in the answer
     * @param pingedHost the host to ping
     * @param configurationVersion the configuration in force at the sender
     * @param updates what the sender passes on
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
