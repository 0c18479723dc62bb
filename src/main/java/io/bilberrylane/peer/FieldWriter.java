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
    /** Most messages are shorter; the default of 8 KiB would be cleared for each of them. */
    private static final int BUFFER_BYTES = 1_024;

    private static final MessagePack.PackerConfig CONFIG =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

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
        final MessageBufferPacker packer = CONFIG.newBufferPacker();
        try {
            packer.packArrayHeader(2).packInt(type).packMapHeader(fields);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new FieldWriter(packer, fields);
    }

    FieldWriter integer(final int field, final long value) {
        try {
            mPacker.packInt(field).packLong(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    FieldWriter text(final int field, final String value) {
        try {
            mPacker.packInt(field).packString(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    FieldWriter flag(final int field, final boolean value) {
        try {
            mPacker.packInt(field).packBoolean(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    FieldWriter binary(final int field, final byte[] value) {
        try {
            mPacker.packInt(field).packBinaryHeader(value.length);
            mPacker.addPayload(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    <T> FieldWriter value(final int field, final T value, final ValueWriter<T> writer) {
        try {
            mPacker.packInt(field);
            writer.write(value, mPacker);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    <T> FieldWriter list(final int field, final List<T> values, final ValueWriter<T> writer) {
        try {
            mPacker.packInt(field).packArrayHeader(values.size());
            for (final T value : values) {
                writer.write(value, mPacker);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return countField();
    }

    private FieldWriter countField() {
        mFieldsLeft--;
        return this;
    }

    byte[] toBytes() {
        if (mFieldsLeft != 0) {
            throw new BilberrylaneException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "number of written fields differs from the declared number");
        }
        return mPacker.toByteArray();
    }
}
