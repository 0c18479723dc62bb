package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.outcome.CallPhase;
import java.util.Objects;

/** Encodes peer messages as MessagePack and decodes them. */
public final class PeerCodec {
    /** The maximum length of an encoded message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

    private PeerCodec() {}

    // -- encoding

    /**
     * Encodes a message.
     *
     * @param message any message except {@link PeerMessage.Unknown}
     * @return the MessagePack bytes
     * @throws IllegalArgumentException for an unknown message
     */
    public static byte[] encode(final PeerMessage message) {
        Objects.requireNonNull(message, "message is null");
        return switch (message) {
            case PeerMessage.Hello m ->
                    FieldWriter.of(MessageType.HELLO, 3)
                            .integer(1, m.protocolVersion())
                            .text(2, m.host())
                            .integer(3, m.incarnation())
                            .toBytes();
            case PeerMessage.Ping m ->
                    FieldWriter.of(MessageType.PING, 1).integer(1, m.nonce()).toBytes();
            case PeerMessage.Pong m ->
                    FieldWriter.of(MessageType.PONG, 1).integer(1, m.nonce()).toBytes();
            case PeerMessage.StreamMessage m -> encodeStream(m);
            case PeerMessage.Request m -> encodeRequest(m);
            case PeerMessage.Reply m -> encodeReply(m);
            case PeerMessage.Unknown m ->
                    throw new IllegalArgumentException(
                            "messages of unknown type cannot be encoded");
        };
    }

    private static byte[] encodeStream(final PeerMessage.StreamMessage message) {
        return switch (message) {
            case PeerMessage.Open m -> encodeOpen(m.streamId(), m.head());
            case PeerMessage.Admit m ->
                    writeStreamId(MessageType.ADMIT, 2, m)
                            .value(2, m.load(), ValueFormats::writeLoad)
                            .toBytes();
            case PeerMessage.Refuse m ->
                    writeStreamId(MessageType.REFUSE, 5, m)
                            .integer(2, m.refusal().code().ordinal())
                            .integer(3, m.refusal().retryAfterMillis())
                            .text(4, m.refusal().holder())
                            .value(5, m.load(), ValueFormats::writeLoad)
                            .toBytes();
            case PeerMessage.Head m ->
                    writeHead(writeStreamId(MessageType.HEAD, 5, m), m.head()).toBytes();
            case PeerMessage.Response m ->
                    writeHead(writeStreamId(MessageType.RESPONSE, 7, m), m.head())
                            .binary(6, m.bytes())
                            .value(7, m.load(), ValueFormats::writeLoad)
                            .toBytes();
            case PeerMessage.Data m ->
                    writeStreamId(MessageType.DATA, 2, m).binary(2, m.bytes()).toBytes();
            case PeerMessage.End m ->
                    writeStreamId(MessageType.END, 2, m)
                            .value(2, m.load(), ValueFormats::writeLoad)
                            .toBytes();
            case PeerMessage.Credit m ->
                    writeStreamId(MessageType.CREDIT, 2, m).integer(2, m.bytes()).toBytes();
            case PeerMessage.Fail m ->
                    writeStreamId(MessageType.FAIL, 3, m)
                            .integer(2, m.code().ordinal())
                            .integer(3, m.phase().ordinal())
                            .toBytes();
            case PeerMessage.Cancel m -> writeStreamId(MessageType.CANCEL, 1, m).toBytes();
        };
    }

    private static FieldWriter writeHead(final FieldWriter writer, final ResponseHead head) {
        return writer.integer(2, head.status())
                .list(3, head.headers(), ValueFormats::writeHeader)
                .flag(4, head.notRun())
                .flag(5, head.repeatBudgetSpent());
    }

    private static byte[] encodeOpen(final int streamId, final CallHead head) {
        return FieldWriter.of(MessageType.OPEN, 19)
                .integer(1, streamId)
                .text(2, head.callId())
                .text(3, head.service())
                .text(4, head.method())
                .text(5, head.uri())
                .list(6, head.headers(), ValueFormats::writeHeader)
                .integer(7, head.timeoutMillis())
                .integer(8, head.attempt())
                .flag(9, head.idempotent())
                .text(10, head.key())
                .integer(11, head.bodyBytes())
                .text(12, head.requestId())
                .integer(13, head.priority())
                .integer(14, head.objectiveMillis())
                .integer(15, head.route())
                .integer(16, head.queueTimeoutMillis())
                .flag(17, head.lastResort())
                .text(18, head.organisation())
                .flag(19, head.nested())
                .toBytes();
    }

    private static byte[] encodeRequest(final PeerMessage.Request message) {
        return switch (message) {
            case PeerMessage.Probe m ->
                    writeRequestId(MessageType.PROBE, 1, m.requestId()).toBytes();
            case PeerMessage.OutcomeQuery m ->
                    writeRequestId(MessageType.OUTCOME_QUERY, 3, m.requestId())
                            .text(2, m.callId())
                            .integer(3, m.incarnation())
                            .toBytes();
            case PeerMessage.ConfigurationPull m ->
                    writeRequestId(MessageType.CONFIGURATION_PULL, 4, m.requestId())
                            .integer(2, m.known().catalogue())
                            .integer(3, m.known().outages())
                            .integer(4, m.known().rollouts())
                            .toBytes();
            case PeerMessage.CrashNotice m ->
                    writeRequestId(MessageType.CRASH_NOTICE, 3, m.requestId())
                            .integer(2, m.fingerprint())
                            .text(3, m.process())
                            .toBytes();
            case PeerMessage.RolloutSync m ->
                    writeRequestId(MessageType.ROLLOUT_SYNC, 3, m.requestId())
                            .list(2, m.summaries(), RolloutFormats::writeSummary)
                            .list(3, m.rows(), RolloutFormats::writeRow)
                            .toBytes();
            case PeerMessage.SyncRequest m ->
                    writeRequestId(MessageType.SYNC_REQUEST, 2, m.requestId())
                            .list(2, m.members(), ValueFormats::writeMember)
                            .toBytes();
            case PeerMessage.QuotaRequest m ->
                    writeRequestId(MessageType.QUOTA_REQUEST, 3, m.requestId())
                            .text(2, m.organisation())
                            .integer(3, m.calls())
                            .toBytes();
        };
    }

    private static byte[] encodeReply(final PeerMessage.Reply message) {
        return switch (message) {
            case PeerMessage.ProbeReply m ->
                    writeRequestId(MessageType.PROBE_REPLY, 2, m.requestId())
                            .value(2, m.load(), ValueFormats::writeLoad)
                            .toBytes();
            case PeerMessage.OutcomeReply m ->
                    writeRequestId(MessageType.OUTCOME_REPLY, 2, m.requestId())
                            .integer(2, m.phase().ordinal())
                            .toBytes();
            case PeerMessage.ConfigurationReply m ->
                    writeRequestId(MessageType.CONFIGURATION_REPLY, 7, m.requestId())
                            .integer(2, m.version().catalogue())
                            .binary(3, m.document().toBytes())
                            .integer(4, m.version().outages())
                            .list(5, m.outages(), ValueFormats::writeText)
                            .integer(6, m.version().rollouts())
                            .list(7, m.rollouts(), ValueFormats::writeText)
                            .toBytes();
            case PeerMessage.CrashAck m ->
                    writeRequestId(MessageType.CRASH_ACK, 1, m.requestId()).toBytes();
            case PeerMessage.RolloutSyncReply m ->
                    writeRequestId(MessageType.ROLLOUT_SYNC_REPLY, 3, m.requestId())
                            .list(2, m.summaries(), RolloutFormats::writeSummary)
                            .list(3, m.rows(), RolloutFormats::writeRow)
                            .toBytes();
            case PeerMessage.SyncReply m ->
                    writeRequestId(MessageType.SYNC_REPLY, 2, m.requestId())
                            .list(2, m.members(), ValueFormats::writeMember)
                            .toBytes();
            case PeerMessage.QuotaReply m ->
                    writeRequestId(MessageType.QUOTA_REPLY, 3, m.requestId())
                            .integer(2, m.calls())
                            .integer(3, m.retryAfterNanos())
                            .toBytes();
        };
    }

    private static FieldWriter writeStreamId(
            final int type, final int fields, final PeerMessage.StreamMessage message) {
        return FieldWriter.of(type, fields).integer(1, message.streamId());
    }

    private static FieldWriter writeRequestId(
            final int type, final int fields, final long requestId) {
        return FieldWriter.of(type, fields).integer(1, requestId);
    }

    // -- decoding

    /**
     * Decodes a message.
     *
     * @param bytes the MessagePack bytes
     * @return the message; {@link PeerMessage.Unknown} for a type of a later version
     * @throws io.bilberrylane.base.BilberrylaneException with PROTOCOL_VIOLATION if the bytes are
     *     not a valid message
     */
    public static PeerMessage decode(final byte[] bytes) {
        final FieldReader fields = FieldReader.of(bytes);
        return switch (fields.type()) {
            case MessageType.HELLO ->
                    new PeerMessage.Hello(
                            fields.smallInteger(1), fields.text(2), fields.integer(3));
            case MessageType.PING -> new PeerMessage.Ping(fields.integer(1));
            case MessageType.PONG -> new PeerMessage.Pong(fields.integer(1));
            case MessageType.OPEN ->
                    new PeerMessage.Open(fields.smallInteger(1), decodeHead(fields));
            case MessageType.ADMIT ->
                    new PeerMessage.Admit(
                            fields.smallInteger(1), fields.value(2, ValueFormats::readLoad));
            case MessageType.REFUSE -> decodeRefuse(fields);
            case MessageType.HEAD ->
                    new PeerMessage.Head(fields.smallInteger(1), decodeResponseHead(fields));
            case MessageType.RESPONSE ->
                    new PeerMessage.Response(
                            fields.smallInteger(1),
                            decodeResponseHead(fields),
                            fields.binary(6),
                            fields.value(7, ValueFormats::readLoad));
            case MessageType.DATA -> new PeerMessage.Data(fields.smallInteger(1), fields.binary(2));
            case MessageType.END ->
                    new PeerMessage.End(
                            fields.smallInteger(1), fields.value(2, ValueFormats::readLoad));
            case MessageType.CREDIT ->
                    new PeerMessage.Credit(fields.smallInteger(1), fields.smallInteger(2));
            case MessageType.FAIL ->
                    new PeerMessage.Fail(
                            fields.smallInteger(1),
                            fields.constant(2, ErrorCode.values()),
                            fields.constant(3, CallPhase.values()));
            case MessageType.CANCEL -> new PeerMessage.Cancel(fields.smallInteger(1));
            default -> decodeRequestOrReply(fields);
        };
    }

    private static PeerMessage decodeRequestOrReply(final FieldReader fields) {
        return switch (fields.type()) {
            case MessageType.PROBE -> new PeerMessage.Probe(fields.integer(1));
            case MessageType.PROBE_REPLY ->
                    new PeerMessage.ProbeReply(
                            fields.integer(1), fields.value(2, ValueFormats::readLoad));
            case MessageType.OUTCOME_QUERY ->
                    new PeerMessage.OutcomeQuery(
                            fields.integer(1),
                            fields.text(2),
                            fields.integerOr(3, NodeIdentity.UNKNOWN_INCARNATION));
            case MessageType.OUTCOME_REPLY ->
                    new PeerMessage.OutcomeReply(
                            fields.integer(1), fields.constant(2, CallPhase.values()));
            case MessageType.CONFIGURATION_PULL ->
                    new PeerMessage.ConfigurationPull(
                            fields.integer(1),
                            new ConfigurationVersion(
                                    fields.integer(2), fields.integer(3), fields.integerOr(4, 0)));
            case MessageType.CONFIGURATION_REPLY ->
                    new PeerMessage.ConfigurationReply(
                            fields.integer(1),
                            new ConfigurationVersion(
                                    fields.integer(2), fields.integer(4), fields.integerOr(6, 0)),
                            CompressedText.ofBytes(fields.binary(3)),
                            fields.list(5, ValueFormats::readText),
                            fields.listIfPresent(7, ValueFormats::readText));
            case MessageType.ROLLOUT_SYNC ->
                    new PeerMessage.RolloutSync(
                            fields.integer(1),
                            fields.list(2, RolloutFormats::readSummary),
                            fields.list(3, RolloutFormats::readRow));
            case MessageType.ROLLOUT_SYNC_REPLY ->
                    new PeerMessage.RolloutSyncReply(
                            fields.integer(1),
                            fields.list(2, RolloutFormats::readSummary),
                            fields.list(3, RolloutFormats::readRow));
            case MessageType.SYNC_REQUEST ->
                    new PeerMessage.SyncRequest(
                            fields.integer(1), fields.list(2, ValueFormats::readMember));
            case MessageType.SYNC_REPLY ->
                    new PeerMessage.SyncReply(
                            fields.integer(1), fields.list(2, ValueFormats::readMember));
            case MessageType.CRASH_NOTICE ->
                    new PeerMessage.CrashNotice(
                            fields.integer(1), fields.integer(2), fields.text(3));
            case MessageType.CRASH_ACK -> new PeerMessage.CrashAck(fields.integer(1));
            case MessageType.QUOTA_REQUEST ->
                    new PeerMessage.QuotaRequest(
                            fields.integer(1), fields.text(2), fields.smallInteger(3));
            case MessageType.QUOTA_REPLY ->
                    new PeerMessage.QuotaReply(
                            fields.integer(1), fields.smallInteger(2), fields.integer(3));
            default -> new PeerMessage.Unknown(fields.type());
        };
    }

    private static PeerMessage decodeRefuse(final FieldReader fields) {
        final Refusal refusal =
                new Refusal(
                        fields.constant(2, ErrorCode.values()), fields.integer(3), fields.text(4));
        return new PeerMessage.Refuse(
                fields.smallInteger(1), refusal, fields.value(5, ValueFormats::readLoad));
    }

    private static ResponseHead decodeResponseHead(final FieldReader fields) {
        return new ResponseHead(
                fields.smallInteger(2),
                fields.list(3, ValueFormats::readHeader),
                fields.flag(4),
                fields.flagIfPresent(5));
    }

    private static CallHead decodeHead(final FieldReader fields) {
        return new CallHead(
                fields.text(2),
                fields.text(3),
                fields.text(4),
                fields.text(5),
                fields.list(6, ValueFormats::readHeader),
                fields.integer(7),
                fields.smallInteger(8),
                fields.flag(9),
                fields.text(10),
                fields.integer(11),
                fields.text(12),
                fields.smallInteger(13),
                fields.integer(14),
                fields.smallInteger(15),
                fields.integer(16),
                fields.flag(17),
                fields.textOr(18, ""),
                fields.flagIfPresent(19));
    }
}
