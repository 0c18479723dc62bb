package io.bilberrylane.peer;

import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.SwimMessage;

/** Encodes membership messages as MessagePack and decodes them. */
public final class GossipCodec {
    private GossipCodec() {}

    /**
     * Encodes a message as the payload of a datagram.
     *
     * @param message the message
     * @return the MessagePack bytes
     */
    public static byte[] encode(final SwimMessage message) {
        return switch (message) {
            case SwimMessage.Ping m ->
                    writeCommonFields(MessageType.GOSSIP_PING, 6, m)
                            .integer(3, m.sequence())
                            .toBytes();
            case SwimMessage.Ack m ->
                    writeCommonFields(MessageType.GOSSIP_ACK, 6, m)
                            .integer(3, m.sequence())
                            .toBytes();
            case SwimMessage.PingRequest m ->
                    writeCommonFields(MessageType.GOSSIP_PING_REQUEST, 7, m)
                            .integer(3, m.sequence())
                            .text(5, m.pingedHost())
                            .toBytes();
        };
    }

    private static FieldWriter writeCommonFields(
            final int type, final int fields, final SwimMessage message) {
        return FieldWriter.of(type, fields)
                .text(1, message.from())
                .integer(2, message.configurationVersion().catalogue())
                .integer(6, message.configurationVersion().outages())
                .integer(7, message.configurationVersion().rollouts())
                .list(4, message.updates(), ValueFormats::writeMember);
    }

    /**
     * Decodes the payload of a datagram.
     *
     * @param bytes the MessagePack bytes
     * @return the message
     * @throws io.bilberrylane.base.BilberrylaneException with PROTOCOL_VIOLATION if the bytes are
     *     not a valid message
     */
    public static SwimMessage decode(final byte[] bytes) {
        final FieldReader fields = FieldReader.of(bytes);
        final String from = fields.text(1);
        final ConfigurationVersion version =
                new ConfigurationVersion(
                        fields.integer(2), fields.integer(6), fields.integerOr(7, 0));
        final long sequence = fields.integer(3);
        final java.util.List<io.bilberrylane.membership.Member> updates =
                fields.list(4, ValueFormats::readMember);
        return switch (fields.type()) {
            case MessageType.GOSSIP_PING -> new SwimMessage.Ping(from, sequence, version, updates);
            case MessageType.GOSSIP_ACK -> new SwimMessage.Ack(from, sequence, version, updates);
            case MessageType.GOSSIP_PING_REQUEST ->
                    new SwimMessage.PingRequest(from, sequence, fields.text(5), version, updates);
            default ->
                    throw FieldReader.protocolViolation(
                            "datagram of unknown type " + fields.type(), null);
        };
    }
}
