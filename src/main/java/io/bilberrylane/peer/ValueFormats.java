package io.bilberrylane.peer;

import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.policy.TargetLoad;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;

/** The wire formats of compound values: arrays whose unknown trailing elements are ignored. */
final class ValueFormats {
    private ValueFormats() {}

    // -- text

    static void writeText(final String text, final MessageBufferPacker packer) throws IOException {
        packer.packString(text);
    }

    /** A decoder of the library's own for each text would cost more than the copy. */
    static String readText(final Value value) {
        return new String(value.asStringValue().asByteArray(), StandardCharsets.UTF_8);
    }

    // -- load

    static void writeLoad(final TargetLoad load, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(7)
                .packInt(load.inFlight())
                .packInt(load.queued())
                .packInt(load.allowance())
                .packLong(load.serviceMicros())
                .packBoolean(load.accepting())
                .packInt(load.speedPercent())
                .packInt(load.failurePercent());
    }

    static TargetLoad readLoad(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        return new TargetLoad(
                integer(parts, 0),
                integer(parts, 1),
                integer(parts, 2),
                parts.get(3).asIntegerValue().toLong(),
                parts.get(4).asBooleanValue().getBoolean(),
                integer(parts, 5),
                integer(parts, 6));
    }

    // -- header fields

    static void writeHeader(final HeaderField header, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(2).packString(header.name()).packString(header.value());
    }

    static HeaderField readHeader(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        return new HeaderField(text(parts, 0), text(parts, 1));
    }

    // -- members

    static void writeMember(final Member member, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(8)
                .packString(member.host())
                .packString(member.dataCentre())
                .packString(member.peerAddress())
                .packLong(member.incarnation())
                .packLong(member.revision())
                .packInt(member.status().ordinal());
        if (member.target().isPresent()) {
            writeTarget(member.target().get(), packer);
        } else {
            packer.packNil();
        }
        packer.packBoolean(member.readsPlatform());
    }

    static Member readMember(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        return new Member(
                text(parts, 0),
                text(parts, 1),
                text(parts, 2),
                parts.get(3).asIntegerValue().toLong(),
                parts.get(4).asIntegerValue().toLong(),
                MemberStatus.values()[integer(parts, 5)],
                parts.get(6).isNilValue()
                        ? Optional.empty()
                        : Optional.of(readTarget(parts.get(6))),
                parts.size() <= 7 || parts.get(7).asBooleanValue().getBoolean());
    }

    private static void writeTarget(final TargetRecord target, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(5)
                .packString(target.service())
                .packLong(target.incarnation())
                .packInt(target.slots())
                .packBoolean(target.accepting())
                .packString(target.version());
    }

    private static TargetRecord readTarget(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        return new TargetRecord(
                text(parts, 0),
                parts.get(1).asIntegerValue().toLong(),
                integer(parts, 2),
                parts.get(3).asBooleanValue().getBoolean(),
                parts.size() > 4 ? text(parts, 4) : "");
    }

    private static int integer(final ArrayValue parts, final int index) {
        return parts.get(index).asIntegerValue().toInt();
    }

    private static String text(final ArrayValue parts, final int index) {
        return readText(parts.get(index));
    }
}
