package io.bilberrylane.peer;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes one message: an array of its type and a map from field numbers to values. */
final class FieldWriter {
    private final MessageBufferPacker mPacker;
    private int mFieldsLeft;

    private FieldWriter(final MessageBufferPacker packer, final int fields) {
        mPacker = packer;
        mFieldsLeft = fields;
    }

    /** Writes one value with the packer. */
    @FunctionalInterface
    interface ValueWriter<T> {
        void write(T value, MessageBufferPacker packer) throws IOException;
    }

    static FieldWriter of(final int type, final int fields) {
        final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        final FieldWriter writer = new FieldWriter(packer, fields);
        return writer.write(
                () -> packer.packArrayHeader(2).packInt(type).packMapHeader(fields), false);
    }

    FieldWriter integer(final int field, final long value) {
        return write(() -> mPacker.packInt(field).packLong(value), true);
    }

    FieldWriter text(final int field, final String value) {
        return write(() -> mPacker.packInt(field).packString(value), true);
    }

    FieldWriter flag(final int field, final boolean value) {
        return write(() -> mPacker.packInt(field).packBoolean(value), true);
    }

    FieldWriter binary(final int field, final byte[] value) {
        return write(
                () -> {
                    mPacker.packInt(field).packBinaryHeader(value.length);
                    mPacker.addPayload(value);
                },
                true);
    }

    <T> FieldWriter value(final int field, final T value, final ValueWriter<T> writer) {
        return write(
                () -> {
                    mPacker.packInt(field);
                    writer.write(value, mPacker);
                },
                true);
    }

    <T> FieldWriter list(final int field, final List<T> values, final ValueWriter<T> writer) {
        return write(
                () -> {
                    mPacker.packInt(field).packArrayHeader(values.size());
                    for (final T value : values) {
                        writer.write(value, mPacker);
                    }
                },
                true);
    }

    byte[] toBytes() {
        if (mFieldsLeft != 0) {
            throw new BilberrylaneException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "number of written fields differs from the declared number");
        }
        return mPacker.toByteArray();
    }

    // -- errors

    @FunctionalInterface
    private interface PackAction {
        void run() throws IOException;
    }

    private FieldWriter write(final PackAction action, final boolean countsAsField) {
        try {
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (countsAsField) {
            mFieldsLeft--;
        }
        return this;
    }
}
